/**
 * Tests that loads and fleet messages survive their encoding, and that random
 * bytes never make decoding throw.
 */
import { Buffer } from "node:buffer";
import fastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import {
  decodeDatagram,
  decodeFleetFrame,
  encodeDatagram,
} from "./fleet_messages.ts";
import {
  decodeInFlightCounts,
  decodeReports,
  encodeInFlightCounts,
  encodeReports,
} from "./load_codec.ts";

const SEED = 20_261_204;

describe("encoded loads", () => {
  it("preserve counts up to 255, and reports", () => {
    const counts = [{ tag: 1, count: 3 }, { tag: 0xffffffff, count: 300 }];
    expect(decodeInFlightCounts(encodeInFlightCounts(counts))).toEqual([
      { tag: 1, count: 3 },
      { tag: 0xffffffff, count: 255 },
    ]);
    const report = { running: 2, waiting: 1, slots: 6, slowdown: 4 };
    const reports = [{ tag: 7, report, ageMilliseconds: 24 }];
    expect(decodeReports(encodeReports(reports))).toEqual(reports);
  });

  it("never have a slowdown of zero, which would make a server free", () => {
    const report = { running: 2, waiting: 1, slots: 6, slowdown: 0.01 };
    const bytes = encodeReports([{ tag: 7, report, ageMilliseconds: 24 }]);
    expect(decodeReports(bytes)[0].report.slowdown).toBeGreaterThan(0);
    // Byte 7 is the slowdown, byte 6 the slots.
    for (const at of [6, 7]) {
      const odd = Buffer.from(bytes);
      odd.writeUInt8(0, at);
      expect(decodeReports(odd)).toEqual([]);
    }
  });

  it("are decoded without an incomplete last record", () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.uint8Array({ maxLength: 40 }), (bytes) => {
        expect(decodeInFlightCounts(bytes)).toHaveLength(
          Math.floor(bytes.length / 5),
        );
        const reports = Math.floor(bytes.length / 9);
        const unusable = Array.from(
          { length: reports },
          (_, index) => bytes.slice(index * 9, index * 9 + 9),
        ).filter((report) => report[6] === 0 || report[7] === 0).length;
        expect(decodeReports(bytes)).toHaveLength(reports - unusable);
      }),
      { seed: SEED },
    );
  });
});

describe("fleet messages", () => {
  it("that cannot be decoded are returned as errors, never thrown", () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.uint8Array({ maxLength: 60 }), (bytes) => {
        for (const decode of [decodeDatagram, decodeFleetFrame]) {
          const result = decode(Buffer.from(bytes));
          if (result.isOk()) continue;
          expect(result.error.kind).toBe("message-unreadable");
        }
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });

  it("are decoded as they were encoded", () => {
    const sent = { kind: "crash", from: "a", fingerprint: "f", server: "s" };
    const bytes = encodeDatagram(sent as never);
    expect(decodeDatagram(bytes)._unsafeUnwrap()).toEqual(sent);
    expect(decodeFleetFrame(bytes).isErr()).toBe(true);
  });
});
