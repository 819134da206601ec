import { expect, test } from "vitest";
import { runEmbeddedKernel } from "./embed_kernel.ts";

test("the kernel routes, places and joins calls without the entry daemon", () => {
  const { service, servers, decisions } = runEmbeddedKernel();
  expect(service).toBe("desk");
  expect(new Set(servers).size).toBe(2);
  expect(decisions).toEqual(["run", "join"]);
});
