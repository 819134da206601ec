/**
 * Checks over all short histories of attempts that a promise is kept.
 */
import { describe, expect, it } from "vitest";
import {
  type AttemptEvidence,
  failureOutcome,
  mayTryAnotherServer,
  proofOf,
} from "./attempt_outcome.ts";

/** Each evidence, with whether the server may have run the request. */
const EVIDENCE: readonly { evidence: AttemptEvidence; mayRun: boolean }[] = [
  { evidence: { kind: "not-connected" }, mayRun: false },
  { evidence: { kind: "refused-by-server", status: 503 }, mayRun: false },
  { evidence: { kind: "refused-by-server", status: 421 }, mayRun: false },
  { evidence: { kind: "broken", hadAnswerBegun: false }, mayRun: true },
  { evidence: { kind: "broken", hadAnswerBegun: true }, mayRun: true },
  { evidence: { kind: "timed-out" }, mayRun: true },
  { evidence: { kind: "unusable-answer", why: "late" }, mayRun: true },
  { evidence: { kind: "cancelled" }, mayRun: true },
];
const LONGEST_HISTORY = 4;
const MAXIMUM_ATTEMPTS = 3;

type History = { runs: number; proofs: ReturnType<typeof proofOf>[] };

/** Every history that the kernel allows for a request that may run once. */
function* histories(past: History): Generator<History> {
  yield past;
  if (past.proofs.length === LONGEST_HISTORY) return;
  const mayGoOn = past.proofs.length === 0 || mayTryAnotherServer({
    kind: "at-most-once",
    proofs: past.proofs,
    serversReached: past.proofs.length,
    maximumAttempts: MAXIMUM_ATTEMPTS,
    isBodyBuffered: true,
    hasAnswerBegun: false,
  });
  if (!mayGoOn) return;
  for (const { evidence, mayRun } of EVIDENCE) {
    yield* histories({
      runs: past.runs + (mayRun ? 1 : 0),
      proofs: [...past.proofs, proofOf(evidence)],
    });
  }
}

describe("attempt outcome", () => {
  const all = [...histories({ runs: 0, proofs: [] })];

  it("never lets a request that may run once run twice", () => {
    expect(all.length).toBeGreaterThan(50);
    for (const { runs } of all) expect(runs).toBeLessThanOrEqual(1);
  });

  it("says not-run only if no server can have run the request", () => {
    for (const { runs, proofs } of all) {
      for (const isTimeUp of [true, false]) {
        const isNotRun = failureOutcome(proofs, isTimeUp) === "not-run";
        expect(isNotRun).toBe(runs === 0);
      }
    }
  });

  it("sends nothing again whose body is gone or whose answer has begun", () => {
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
