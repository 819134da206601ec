/**
 * Checks all short histories of attempts: an at-most-once request must never
 * run twice, and `not-run` must not be reported for a request that may have
 * run.
 */
import { describe, expect, it } from "vitest";
import {
  type AttemptEvidence,
  failureOutcome,
  mayTryAnotherServer,
  proofOf,
} from "./attempt_outcome.ts";

/** Each evidence, with whether the server may have run the request. */
const EVIDENCE: readonly { evidence: AttemptEvidence; mayHaveRun: boolean }[] =
  [
    { evidence: { kind: "not-connected" }, mayHaveRun: false },
    { evidence: { kind: "refused-by-server", status: 503 }, mayHaveRun: false },
    { evidence: { kind: "refused-by-server", status: 421 }, mayHaveRun: false },
    { evidence: { kind: "broken", hadAnswerBegun: false }, mayHaveRun: true },
    { evidence: { kind: "broken", hadAnswerBegun: true }, mayHaveRun: true },
    { evidence: { kind: "timed-out" }, mayHaveRun: true },
    { evidence: { kind: "unusable-answer", why: "late" }, mayHaveRun: true },
    { evidence: { kind: "cancelled" }, mayHaveRun: true },
  ];
const MAXIMUM_HISTORY_LENGTH = 4;
const MAXIMUM_ATTEMPTS = 3;

type History = { runs: number; proofs: ReturnType<typeof proofOf>[] };

/** Every history that the kernel allows for an at-most-once request. */
function* histories(history: History): Generator<History> {
  yield history;
  if (history.proofs.length === MAXIMUM_HISTORY_LENGTH) return;
  const mayContinue = history.proofs.length === 0 || mayTryAnotherServer({
    kind: "at-most-once",
    proofs: history.proofs,
    serversReached: history.proofs.length,
    maximumAttempts: MAXIMUM_ATTEMPTS,
    isBodyBuffered: true,
    hasAnswerBegun: false,
  });
  if (!mayContinue) return;
  for (const { evidence, mayHaveRun } of EVIDENCE) {
    yield* histories({
      runs: history.runs + (mayHaveRun ? 1 : 0),
      proofs: [...history.proofs, proofOf(evidence)],
    });
  }
}

describe("attempt outcome", () => {
  const all = [...histories({ runs: 0, proofs: [] })];

  it("never runs an at-most-once request twice", () => {
    expect(all.length).toBeGreaterThan(50);
    for (const { runs } of all) expect(runs).toBeLessThanOrEqual(1);
  });

  it("reports not-run only if no server can have run the request", () => {
    for (const { runs, proofs } of all) {
      for (const isTimeUp of [true, false]) {
        const isNotRun = failureOutcome(proofs, isTimeUp) === "not-run";
        expect(isNotRun).toBe(runs === 0);
      }
    }
  });

  it("does not retry without the body or once the answer has begun", () => {
    const base = {
      kind: "idempotent" as const,
      proofs: [],
      serversReached: 0,
      maximumAttempts: 2,
      isBodyBuffered: true,
      hasAnswerBegun: false,
    };
    expect(mayTryAnotherServer(base)).toBe(true);
    expect(mayTryAnotherServer({ ...base, isBodyBuffered: false })).toBe(false);
    expect(mayTryAnotherServer({ ...base, hasAnswerBegun: true })).toBe(false);
    expect(mayTryAnotherServer({ ...base, serversReached: 2 })).toBe(false);
  });
});
