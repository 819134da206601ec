/**
 * Compact blocks of load figures, as datagrams carry them.
 *
 * Counts: four bytes of server tag and one of requests in flight. Reports:
 * four bytes of tag, one running, one waiting, one slots, one slowdown in
 * tenths, one age in units of two milliseconds.
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
const MOST = 255;
const TENTHS = 10;
const AGE_STEP_MILLISECONDS = 2;

function byte(value: number): number {
  return Math.max(0, Math.min(MOST, Math.round(value)));
}

export function encodeInFlightCounts(counts: readonly TaggedCount[]): Buffer {
  const block = Buffer.allocUnsafe(counts.length * COUNT_BYTES);
  counts.forEach(({ tag, count }, index) => {
    block.writeUInt32BE(tag, index * COUNT_BYTES);
    block.writeUInt8(byte(count), index * COUNT_BYTES + 4);
  });
  return block;
}

export function decodeInFlightCounts(bytes: Uint8Array): TaggedCount[] {
  const block = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const counts: TaggedCount[] = [];
  for (let at = 0; at + COUNT_BYTES <= block.byteLength; at += COUNT_BYTES) {
    counts.push({
      tag: block.readUInt32BE(at),
      count: block.readUInt8(at + 4),
    });
  }
  return counts;
}

export function encodeReports(reports: readonly TaggedReport[]): Buffer {
  const block = Buffer.allocUnsafe(reports.length * REPORT_BYTES);
  reports.forEach(({ tag, report, ageMilliseconds }, index) => {
    const at = index * REPORT_BYTES;
    block.writeUInt32BE(tag, at);
    block.writeUInt8(byte(report.running), at + 4);
    block.writeUInt8(byte(report.waiting), at + 5);
    block.writeUInt8(byte(report.slots), at + 6);
    block.writeUInt8(byte(report.slowdown * TENTHS), at + 7);
    block.writeUInt8(byte(ageMilliseconds / AGE_STEP_MILLISECONDS), at + 8);
  });
  return block;
}

export function decodeReports(bytes: Uint8Array): TaggedReport[] {
  const block = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const reports: TaggedReport[] = [];
  for (let at = 0; at + REPORT_BYTES <= block.byteLength; at += REPORT_BYTES) {
    reports.push({
      tag: block.readUInt32BE(at),
      report: {
        running: block.readUInt8(at + 4),
        waiting: block.readUInt8(at + 5),
        slots: block.readUInt8(at + 6),
        slowdown: block.readUInt8(at + 7) / TENTHS,
      },
      ageMilliseconds: block.readUInt8(at + 8) * AGE_STEP_MILLISECONDS,
    });
  }
  return reports;
}
