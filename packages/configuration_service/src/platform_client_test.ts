/**
 * Tests that one odd value or instance of the platform costs no other anything.
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, expect, it } from "vitest";
import { PlatformClient } from "./platform_client.ts";

const NESTED = "[".repeat(100_000) + "]".repeat(100_000);
const VALUE = { name: "a", version: 1, value: "x" };
const INSTANCE = {
  address: "127.0.0.1:80",
  role: "entry",
  state: "live",
  failureDomain: "a",
};

let body = "";
let server: Server;
let client: PlatformClient;

beforeEach(async () => {
  server = createServer((_request, response) => void response.end(body));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  client = new PlatformClient({
    baseUrl: `http://127.0.0.1:${port}`,
    valuePrefix: "",
    timeoutMilliseconds: 2_000,
  });
});

afterEach(() => {
  client.close();
  server.close();
  server.closeAllConnections();
});

const ODD_FIELDS = ["null", "-1.5", "1e999", "{}", NESTED];

it.each(["name", "version", "value"])(
  "an odd %s of one value hides no other value",
  async (field) => {
    for (const text of [...ODD_FIELDS, "9007199254740993"]) {
      if (field !== "version" && text === "9007199254740993") continue;
      const odd = JSON.stringify({ ...VALUE, [field]: "PLACEHOLDER" })
        .replace('"PLACEHOLDER"', () => text);
      const good = JSON.stringify(VALUE);
      body = `{"version":3,"values":[${good},${odd},${NESTED},${good}]}`;
      const values = await client.readValues();
      expect(values._unsafeUnwrap().values).toEqual([VALUE, VALUE]);
    }
  },
);

it.each(["address", "role", "state", "failureDomain", "meshAddress"])(
  "an odd %s of one instance hides no other instance",
  async (field) => {
    for (const text of ODD_FIELDS) {
      const odd = JSON.stringify({ ...INSTANCE, [field]: "PLACEHOLDER" })
        .replace('"PLACEHOLDER"', () => text);
      const good = JSON.stringify(INSTANCE);
      body = `{"instances":[${good},${odd},${good}]}`;
      const instances = await client.readInstances();
      expect(instances._unsafeUnwrap()).toEqual([INSTANCE, INSTANCE]);
    }
  },
);

it.each([NESTED, `{"version":${NESTED},"values":[]}`, '{"values":7}', "{"])(
  "an answer that cannot be read at all is an error (%#)",
  async (text) => {
    body = text;
    expect((await client.readValues()).isErr()).toBe(true);
    expect((await client.readInstances()).isErr()).toBe(true);
  },
);
