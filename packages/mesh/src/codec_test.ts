/**
 * Tests that a message between daemons which holds an address that cannot be
 * connected to, or is nested deeply, is refused and never throws.
 */
import { Buffer } from "node:buffer";
import { encode } from "cbor-x";
import fastCheck from "fast-check";
import { expect, it } from "vitest";
import { decodeMessage } from "./codec.ts";

const RECORD = {
  incarnation: "abc",
  callAddress: "127.0.0.1:80",
  meshAddress: "[::1]:81",
  failureDomain: "a",
  keyPrefix: "k",
  issue: 1,
};

function decodeRecord(fields: object) {
  const records = [{ ...RECORD, ...fields }];
  return decodeMessage(encode({ kind: "entry-records", records }));
}

it("an address that cannot be connected to is refused", () => {
  expect(decodeRecord({}).isOk()).toBe(true);
  for (
    const address of ["127.0.0.1:99999", "127.0.0.1:0", "256.0.0.1:80", "a", ""]
  ) {
    expect(decodeRecord({ meshAddress: address }).isErr()).toBe(true);
    expect(decodeRecord({ callAddress: address }).isErr()).toBe(true);
  }
});

it("a message that is nested deeply is refused", () => {
  for (const depth of [10, 1_000, 100_000, 4_000_000]) {
    expect(decodeMessage(Buffer.alloc(depth, 0x81)).isErr()).toBe(true);
  }
});

it("a message of any shape never throws", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.constantFrom(...Object.keys(RECORD)),
      fastCheck.anything(),
      (field, value) => {
        const result = decodeRecord({ [field]: value });
        if (result.isOk()) return;
        expect(result.error.detail.length).toBeLessThan(400);
      },
    ),
    { seed: 20_261_205, numRuns: 500 },
  );
});
