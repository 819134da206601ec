/**
 * Tests of the validation of the gateway's settings.
 */
import { describe, expect, it } from "vitest";
import { parseGatewayOptions } from "./options.ts";

const VALID_SETTINGS = {
  instance: {
    name: "entry-1",
    failureDomain: "a",
    callAddress: "10.0.0.1:80",
    readinessAddress: "10.0.0.1:81",
    directoryAddress: "10.0.0.1:82",
    meshAddress: "10.0.0.1:83",
    datagramAddress: "10.0.0.1:84",
    forwardAddress: "10.0.0.1:85",
    metricsAddress: "10.0.0.1:86",
  },
  seeds: ["10.0.0.1:83"],
  discovery: { source: "store", address: "10.0.0.9:80" },
  protocol: "marigoldford",
  bounds: {
    graceSeconds: 6,
    configurationEffectSeconds: 2,
    leavingEffectSeconds: 2,
    directoryAnswerSeconds: 5,
    retryShare: 0.2,
    retryAllowance: 56,
    retryWindowSeconds: 10,
    probesPerSecond: 60,
  },
};

describe("parseGatewayOptions", () => {
  it("accepts valid settings and ignores unknown keys", () => {
    expect(parseGatewayOptions({ ...VALID_SETTINGS, later: 1 }).isOk()).toBe(
      true,
    );
  });

  it("accepts limits of the instance, and refuses those that are none", () => {
    const limits = { memoryMegabytes: 202, descriptors: 2_069 };
    const given = parseGatewayOptions({ ...VALID_SETTINGS, limits });
    expect(given._unsafeUnwrap().limits).toEqual(limits);
    const wrong = { ...VALID_SETTINGS, limits: { descriptors: "many" } };
    expect(parseGatewayOptions(wrong).isErr()).toBe(true);
  });

  it("reports every error with its path", () => {
    const result = parseGatewayOptions({
      ...VALID_SETTINGS,
      seeds: ["nowhere"],
      bounds: {
        ...VALID_SETTINGS.bounds,
        graceSeconds: -1,
        retryShare: "much",
      },
    });
    const { kind, detail } = result._unsafeUnwrapErr();
    expect(kind).toBe("options-invalid");
    expect(detail).toContain('["seeds"][0]');
    expect(detail).toContain('["bounds"]["graceSeconds"]');
    expect(detail).toContain('["bounds"]["retryShare"]');
  });

  it("refuses addresses that cannot be connected to", () => {
    for (const seed of ["10.0.0.1:99999", "10.0.0.1:0", "10.0.0.256:83"]) {
      const result = parseGatewayOptions({ ...VALID_SETTINGS, seeds: [seed] });
      expect(result.isErr()).toBe(true);
    }
  });

  it("refuses settings that are nested deeply", () => {
    const nested = JSON.parse("[".repeat(100_000) + "]".repeat(100_000));
    for (
      const settings of [
        nested,
        { ...VALID_SETTINGS, seeds: nested },
        { ...VALID_SETTINGS, discovery: { source: nested, address: nested } },
        { ...VALID_SETTINGS, instance: nested },
      ]
    ) {
      const result = parseGatewayOptions(settings);
      expect(result._unsafeUnwrapErr().kind).toBe("options-invalid");
    }
  });
});
