/**
 * Tests of which addresses can be connected to.
 */
import { isIPv4 } from "node:net";
import fastCheck from "fast-check";
import { expect, it } from "vitest";
import { IPV4_ADDRESS } from "./address.ts";

it("an address that cannot be connected to matches no pattern", () => {
  const octet = fastCheck.oneof(
    fastCheck.integer({ min: -1, max: 300 }).map(String),
    fastCheck.constantFrom("00", "010", "", "1e2", " 1", "0x7f"),
  );
  const port = fastCheck.oneof(
    fastCheck.integer({ min: -1, max: 99_999 }).map(String),
    fastCheck.constantFrom("0", "080", "65535", "65536", "", "1e3", "80\n"),
  );
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(octet, { minLength: 3, maxLength: 5 }),
      port,
      (octets, port) => {
        const host = octets.join(".");
        const isUsable = isIPv4(host) && /^[1-9]\d*$/.test(port) &&
          Number(port) <= 65_535;
        expect(IPV4_ADDRESS.test(`${host}:${port}`)).toBe(isUsable);
      },
    ),
    { seed: 20_261_205, numRuns: 5_000 },
  );
  for (let port = 0; port <= 99_999; port++) {
    const isUsable = port > 0 && port <= 65_535;
    expect(IPV4_ADDRESS.test(`127.0.0.1:${port}`)).toBe(isUsable);
  }
});
