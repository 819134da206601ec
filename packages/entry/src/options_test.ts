import { describe, expect, test } from "vitest";
import { normalizeOptions } from "./options.ts";

const INSTANCE = {
  callAddress: "127.0.0.1:8080",
  meshAddress: "127.0.0.1:9080",
  failureDomain: "a",
};
const PLATFORM = { url: "http://127.0.0.1:7000" };

describe("entry options", () => {
  test("fill in defaults", () => {
    const options = normalizeOptions({ instance: INSTANCE, platform: PLATFORM })
      ._unsafeUnwrap();
    expect(options.choosing.policy).toBe("aged-reports");
    expect(options.calls.deadlineMilliseconds).toBe(2_000);
  });

  test("report all faults together, with path, given and expected", () => {
    const faults = normalizeOptions({
      instance: { ...INSTANCE, callAddress: "localhost" },
      platform: PLATFORM,
      calls: { queueLenght: 5, retryShare: 2 },
      mehs: {},
    })._unsafeUnwrapErr();
    const byPath = new Map(faults.map((fault) => [fault.path, fault]));
    expect([...byPath.keys()].sort()).toEqual([
      "calls.queueLenght",
      "calls.retryShare",
      "instance.callAddress",
      "mehs",
    ]);
    expect(byPath.get("calls.queueLenght")?.expected)
      .toContain("calls.queueLength");
    expect(byPath.get("mehs")?.expected).toContain("mesh");
    expect(byPath.get("calls.retryShare"))
      .toMatchObject({ given: "2", expected: "a share from 0 to 1" });
    expect(byPath.get("instance.callAddress")?.given).toBe('"localhost"');
  });

  test("report a missing section by its path", () => {
    const faults = normalizeOptions({ platform: PLATFORM })._unsafeUnwrapErr();
    expect(faults.map(({ path, given }) => [path, given]))
      .toEqual([["instance", "nothing"]]);
  });

  test("refuse settings that are not an object", () => {
    expect(normalizeOptions([]).isErr()).toBe(true);
  });
});
