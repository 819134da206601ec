/**
 * Tests of the encoding of heartbeats.
 */
import { describe, expect, it } from "vitest";
import { decodeHeartbeats, encodeHeartbeats } from "./heartbeat_codec.ts";

describe("encoded heartbeats", () => {
  it("preserve tag, counter and state", () => {
    const heartbeats = [
      { tag: 0xffffffff, counter: 7, state: "serving" },
      { tag: 0, counter: 4_000_000_000, state: "stopped" },
    ] as const;
    expect(decodeHeartbeats(encodeHeartbeats(heartbeats))).toEqual(heartbeats);
  });

  it("are decoded without unknown states or an incomplete last one", () => {
    const buffer = encodeHeartbeats([
      { tag: 1, counter: 1, state: "serving" },
      { tag: 2, counter: 1, state: "serving" },
      { tag: 3, counter: 1, state: "leaving" },
    ]);
    buffer.writeUInt8(99, 8);
    expect(decodeHeartbeats(buffer.subarray(0, -1)).map(({ tag }) => tag))
      .toEqual([2]);
    expect(decodeHeartbeats(new Uint8Array())).toEqual([]);
  });
});
