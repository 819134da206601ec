/**
 * Headers between an entry and a backend server.
 *
 * - `Backend-Load: 3` on an answer: the backend server has 3 calls in flight.
 * - `Backend-State: leaving` on any answer: send it no new calls.
 * - `Backend-Not-Run: shedding` on a 503: the backend server refused the call
 *   before running it. Values: `shedding`, `leaving`, `starting`, `deadline`.
 */
import type { IncomingHttpHeaders } from "node:http";

export const NOT_RUN_CAUSES = [
  "shedding",
  "leaving",
  "starting",
  "deadline",
] as const;
export type NotRunCause = typeof NOT_RUN_CAUSES[number];

/** What the headers of an answer report about its backend server. */
export type BackendSignals = {
  readonly inFlight: number | undefined;
  readonly isLeaving: boolean;
  readonly notRun: NotRunCause | undefined;
};

const REFUSAL_STATUS = 503;

/** Reads the signals; headers with invalid values are ignored. */
export function readBackendSignals(
  status: number,
  headers: IncomingHttpHeaders,
): BackendSignals {
  const cause = NOT_RUN_CAUSES.find((known) =>
    known === headers["backend-not-run"]
  );
  return {
    inFlight: readCount(headers["backend-load"]),
    isLeaving: headers["backend-state"] === "leaving",
    notRun: status === REFUSAL_STATUS ? cause : undefined,
  };
}

function readCount(text: string | string[] | undefined): number | undefined {
  if (typeof text !== "string" || !/^\d{1,7}$/.test(text)) return undefined;
  return Number(text);
}
