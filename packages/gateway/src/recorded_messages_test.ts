/**
 * Reads messages that an earlier build has encoded. Entries of both builds run
 * side by side while a fleet is upgraded; see docs/design/compatibility.md.
 */
import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { decodeDatagram, decodeFleetFrame } from "./fleet_messages.ts";

type Recorded = {
  /** What was encoded; bytes are objects with base64 text. */
  readonly message: { readonly kind: string };
  readonly encoded: string;
};

const BUILDS = ["6c021fb"];

function readRecorded(commit: string): {
  datagrams: readonly Recorded[];
  frames: readonly Recorded[];
} {
  const file = new URL(
    `./__fixtures__/messages_${commit}.json`,
    import.meta.url,
  );
  return JSON.parse(readFileSync(file, "utf8"));
}

function withoutBytes(message: unknown): unknown {
  return JSON.parse(
    JSON.stringify(
      message,
      (_, value) =>
        value?.type === "Buffer"
          ? { bytes: Buffer.from(value.data).toString("base64") }
          : value,
    ),
  );
}

for (const commit of BUILDS) {
  const { datagrams, frames } = readRecorded(commit);
  // Guards against: a change of a message makes entries of the build before
  // unreadable, or gives what they tell another meaning.
  describe(`messages of the build ${commit}`, () => {
    for (const { message, encoded } of datagrams) {
      it(`the datagram ${message.kind} is read with the same meaning`, () => {
        const ignored: unknown[] = [];
        const bytes = Buffer.from(encoded, "base64");
        const read = decodeDatagram(bytes, (error) => ignored.push(error));
        expect(withoutBytes(read._unsafeUnwrap())).toEqual(message);
        expect(ignored).toEqual([]);
      });
    }
    for (const { message, encoded } of frames) {
      it(`the frame ${message.kind} is read with the same meaning`, () => {
        const bytes = Buffer.from(encoded, "base64");
        const read = decodeFleetFrame(bytes)._unsafeUnwrap();
        expect(withoutBytes(read)).toEqual(message);
      });
    }
  });
}
