/**
 * Compact encoding of server loads in datagrams between entries.
 *
 * In-flight count: server tag (4 bytes), requests in flight (1 byte).
 * Report: server tag (4 bytes), then one byte each for running, waiting, slots,
 * slowdown in tenths and age in units of 2 ms. Larger values are clamped.
 */
import { Buffer } from "node:buffer";
import type { ServerReport } from "@marigoldford/kernel/server_load";

export type TaggedCount = { readonly tag: number; readonly count: number };
export type TaggedReport = {
  readonly tag: number;
  readonly report: ServerReport;
  readonly ageMilliseconds: number;
};

const COUNT_BYTES = 5;
const REPORT_BYTES = 9;
const MAXIMUM_BYTE = 255;
const SLOWDOWN_STEPS_PER_UNIT = 10;
const AGE_STEP_MILLISECONDS = 2;

function toByte(value: number): number {
  return Math.max(0, Math.min(MAXIMUM_BYTE, Math.round(value)));
}

export function encodeInFlightCounts(counts: readonly TaggedCount[]): Buffer {
  const buffer = Buffer.allocUnsafe(counts.length * COUNT_BYTES);
  counts.forEach(({ tag, count }, index) => {
    buffer.writeUInt32BE(tag, index * COUNT_BYTES);
    buffer.writeUInt8(toByte(count), index * COUNT_BYTES + 4);
  });
  return buffer;
}

export function decodeInFlightCounts(bytes: Uint8Array): TaggedCount[] {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const counts: TaggedCount[] = [];
  for (let at = 0; at + COUNT_BYTES <= buffer.byteLength; at += COUNT_BYTES) {
    counts.push({
      tag: buffer.readUInt32BE(at),
      count: buffer.readUInt8(at + 4),
    });
  }
  return counts;
}

export function encodeReports(reports: readonly TaggedReport[]): Buffer {
  const buffer = Buffer.allocUnsafe(reports.length * REPORT_BYTES);
  reports.forEach(({ tag, report, ageMilliseconds }, index) => {
    const at = index * REPORT_BYTES;
    buffer.writeUInt32BE(tag, at);
    buffer.writeUInt8(toByte(report.running), at + 4);
    buffer.writeUInt8(toByte(report.waiting), at + 5);
    buffer.writeUInt8(toByte(report.slots), at + 6);
    buffer.writeUInt8(
      Math.max(1, toByte(report.slowdown * SLOWDOWN_STEPS_PER_UNIT)),
      at + 7,
    );
    buffer.writeUInt8(
      toByte(ageMilliseconds / AGE_STEP_MILLISECONDS),
      at + 8,
    );
  });
  return buffer;
}

/** Skips reports of no slots, or of a slowdown that costs no time. */
export function decodeReports(bytes: Uint8Array): TaggedReport[] {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const reports: TaggedReport[] = [];
  for (let at = 0; at + REPORT_BYTES <= buffer.byteLength; at += REPORT_BYTES) {
    if (buffer.readUInt8(at + 6) === 0) continue;
    if (buffer.readUInt8(at + 7) === 0) continue;
    reports.push({
      tag: buffer.readUInt32BE(at),
      report: {
        running: buffer.readUInt8(at + 4),
        waiting: buffer.readUInt8(at + 5),
        slots: buffer.readUInt8(at + 6),
        slowdown: buffer.readUInt8(at + 7) / SLOWDOWN_STEPS_PER_UNIT,
      },
      ageMilliseconds: buffer.readUInt8(at + 8) * AGE_STEP_MILLISECONDS,
    });
  }
  return reports;
}
