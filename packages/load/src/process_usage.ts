/**
 * Processor time and memory of another process, read from `/proc`.
 */
import { readFileSync } from "node:fs";

const MILLISECONDS_PER_TICK = 10;
const PAGE_BYTES = 4_096;
/** Indexes of the fields after the process name in `/proc/<pid>/stat`. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Processor time since the process started, with a resolution of 10 ms. */
export function processorMilliseconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) +
    Number(fields[SYSTEM_TIME_FIELD]);
  return ticks * MILLISECONDS_PER_TICK;
}

export function residentBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/statm`, "utf8");
  return Number(text.split(" ")[1]) * PAGE_BYTES;
}
