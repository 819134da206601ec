import { Buffer } from "node:buffer";
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { decodeMessage, encodeMessage } from "./codec.ts";
import { encodeFrame, FrameDecoder } from "./frame.ts";

const SEED = 20_261_204;

describe("frames", () => {
  test("are decoded whole, however the stream is split into chunks", () => {
    const payloads = fc.array(fc.uint8Array({ maxLength: 50 }));
    const cuts = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 });
    fc.assert(
      fc.property(payloads, cuts, (sent, sizes) => {
        const stream = Buffer.concat(sent.map(encodeFrame));
        const decoder = new FrameDecoder();
        const received: Buffer[] = [];
        for (let at = 0, cut = 0; at < stream.length; cut++) {
          const size = sizes[cut % sizes.length];
          const chunk = stream.subarray(at, at + size);
          received.push(...decoder.push(chunk)._unsafeUnwrap());
          at += size;
        }
        expect(received.map((payload) => [...payload]))
          .toEqual(sent.map((payload) => [...payload]));
      }),
      { seed: SEED },
    );
  });

  test("a length above the limit is refused before its payload", () => {
    const decoder = new FrameDecoder(10);
    expect(decoder.push(Buffer.from([0, 0, 0, 11]))._unsafeUnwrapErr())
      .toEqual({
        kind: "frame-too-long",
        payloadBytes: 11,
        maximumPayloadBytes: 10,
      });
  });
});

describe("messages", () => {
  test("anything that is not a message is malformed and never throws", () => {
    fc.assert(
      fc.property(fc.uint8Array(), (bytes) => {
        expect(decodeMessage(bytes).isErr()).toBe(true);
      }),
      { seed: SEED },
    );
  });

  test("unknown fields are ignored", () => {
    const message = { kind: "hello", version: 1, incarnation: "a" } as const;
    const bytes = encodeMessage({ ...message, later: 7 } as never);
    expect(decodeMessage(bytes)._unsafeUnwrap()).toMatchObject(message);
  });
});
