/**
 * Specification of the attempts of one request. Each of three servers may run
 * it during its attempt or after the attempt has ended, and may answer,
 * refuse, break the connection or not respond. The kernel's own
 * `AttemptHistory` decides whether another attempt may follow and which
 * outcome is reported; broken variants record wrong evidence or limits.
 */
import { AttemptHistory } from "@marigoldford/kernel/attempt_history";
import type { AttemptEvidence } from "@marigoldford/kernel/attempt_outcome";
import type { RouteKind } from "@marigoldford/kernel/routing_snapshot";
import { type CheckReport, explore, type ModelEvent } from "./explore.ts";

type AttemptVariant =
  | "as specified"
  | "a broken connection counts as proof of not-run"
  | "a timeout counts as proof of not-run"
  | "an unusable answer counts as proof of not-run"
  | "at-most-once requests are hedged"
  | "the number of attempts is unlimited";

type EvidenceKind = AttemptEvidence["kind"];

/** Whether the server has run the request, and how the gateway saw it end. */
type Attempt = { readonly hasRun: boolean; readonly evidence?: EvidenceKind };

type AttemptState = {
  readonly attempts: readonly Attempt[];
  /** The final outcome reported to the caller. */
  readonly reportedOutcome?: "answer" | "not-run" | "unknown";
};

type AttemptStep =
  | { readonly kind: "send" }
  | { readonly kind: "run"; readonly server: number }
  | {
    readonly kind: "end";
    readonly server: number;
    readonly evidence: EvidenceKind;
  }
  | { readonly kind: "report" };
type AttemptModelEvent = ModelEvent & AttemptStep;

type ModelParameters = {
  readonly route: RouteKind;
  readonly variant: AttemptVariant;
};

const SERVER_COUNT = 3;
const MAXIMUM_ATTEMPTS = 2;
const EVIDENCE_KINDS: readonly EvidenceKind[] = [
  "not-connected",
  "refused-by-server",
  "refused-by-peer",
  "broken",
  "timed-out",
  "unusable-answer",
  "cancelled",
  "answered",
];
/** The server has not received the request, or refused it before running. */
const NOT_RUN_EVIDENCE: ReadonlySet<EvidenceKind> = new Set([
  "not-connected",
  "refused-by-server",
  "refused-by-peer",
]);
/** Possible only after the server has run the request. */
const RUN_EVIDENCE: ReadonlySet<EvidenceKind> = new Set(["answered"]);

function makeEvidence(evidence: EvidenceKind): AttemptEvidence {
  switch (evidence) {
    case "refused-by-server":
    case "refused-by-peer":
      return { kind: evidence, status: 503 };
    case "broken":
      return { kind: evidence, hadAnswerBegun: false };
    case "unusable-answer":
      return { kind: evidence, why: "unsigned" };
    case "answered":
      return { kind: evidence, status: 500 };
    default:
      return { kind: evidence };
  }
}

/** The evidence that each variant takes for a failure to connect. */
const MISREAD_EVIDENCE: Readonly<
  Partial<Record<AttemptVariant, EvidenceKind>>
> = {
  "a broken connection counts as proof of not-run": "broken",
  "a timeout counts as proof of not-run": "timed-out",
  "an unusable answer counts as proof of not-run": "unusable-answer",
};

function makeHistory(
  { attempts }: AttemptState,
  variant: AttemptVariant,
): AttemptHistory {
  const history = new AttemptHistory();
  attempts.forEach((_, index) => history.recordStart(String(index)));
  for (const { evidence } of attempts) {
    if (evidence === undefined) continue;
    const isMisread = MISREAD_EVIDENCE[variant] === evidence;
    history.recordEnd(makeEvidence(isMisread ? "not-connected" : evidence));
  }
  return history;
}

function maySend(
  state: AttemptState,
  { route, variant }: ModelParameters,
): boolean {
  if (
    state.reportedOutcome !== undefined || state.attempts.length >= SERVER_COUNT
  ) {
    return false;
  }
  if (state.attempts.length === 0) return true;
  const history = makeHistory(state, variant);
  const limits = {
    kind: variant === "at-most-once requests are hedged"
      ? "idempotent" as const
      : route,
    maximumAttempts: variant === "the number of attempts is unlimited"
      ? Infinity
      : MAXIMUM_ATTEMPTS,
    isBodyBuffered: true,
  };
  return history.running > 0
    ? history.mayHedge(limits)
    : history.mayRetry({ ...limits, kind: route }, false);
}

/** The outcome to report once no attempt is running. */
function outcomeOf(
  state: AttemptState,
  variant: AttemptVariant,
): AttemptState["reportedOutcome"] {
  if (state.attempts.some(({ evidence }) => evidence === "answered")) {
    return "answer";
  }
  const outcome = makeHistory(state, variant).outcome(false);
  return outcome === "not-run" ? "not-run" : "unknown";
}

function withAttempt(
  state: AttemptState,
  server: number,
  change: Partial<Attempt>,
): AttemptState {
  const attempts = state.attempts.with(server, {
    ...state.attempts[server],
    ...change,
  });
  return { ...state, attempts };
}

function stepAttempts(
  state: AttemptState,
  event: AttemptStep,
  parameters: ModelParameters,
): AttemptState {
  if (event.kind === "send") {
    if (!maySend(state, parameters)) return state;
    return { ...state, attempts: [...state.attempts, { hasRun: false }] };
  }
  if (event.kind === "report") {
    const isRunning = state.attempts.some(({ evidence }) =>
      evidence === undefined
    );
    if (state.reportedOutcome !== undefined || isRunning) return state;
    return { ...state, reportedOutcome: outcomeOf(state, parameters.variant) };
  }
  const attempt = state.attempts[event.server];
  if (attempt === undefined) return state;
  if (event.kind === "run") {
    const { evidence, hasRun } = attempt;
    const isProvenNotRun = evidence !== undefined &&
      NOT_RUN_EVIDENCE.has(evidence);
    return hasRun || isProvenNotRun
      ? state
      : withAttempt(state, event.server, { hasRun: true });
  }
  if (attempt.evidence !== undefined || state.reportedOutcome !== undefined) {
    return state;
  }
  if (
    attempt.hasRun
      ? NOT_RUN_EVIDENCE.has(event.evidence)
      : RUN_EVIDENCE.has(event.evidence)
  ) {
    return state;
  }
  return withAttempt(state, event.server, { evidence: event.evidence });
}

function allEvents(): AttemptModelEvent[] {
  const events: AttemptModelEvent[] = [
    { type: "send", kind: "send" },
    { type: "report the outcome", kind: "report" },
  ];
  for (let server = 0; server < SERVER_COUNT; server++) {
    events.push({ type: `${server} runs it`, kind: "run", server });
    for (const evidence of EVIDENCE_KINDS) {
      const type = `${server} ends ${evidence}`;
      events.push({ type, kind: "end", server, evidence });
    }
  }
  return events;
}

function runCount({ attempts }: AttemptState): number {
  return attempts.filter(({ hasRun }) => hasRun).length;
}

type Property = {
  readonly text: string;
  readonly holds: (state: AttemptState) => boolean;
};

const RUNS_AT_MOST_ONCE: Property = {
  text: "an at-most-once request runs at most once",
  holds: (state) => runCount(state) <= 1,
};
const NOT_RUN_IS_TRUE: Property = {
  text: "a request reported as not-run has not run and never runs",
  holds: (state) =>
    state.reportedOutcome !== "not-run" || runCount(state) === 0,
};
const RUNS_ARE_BOUNDED: Property = {
  text: "a request runs on no more servers than its route allows",
  holds: (state) => runCount(state) <= MAXIMUM_ATTEMPTS,
};

function check(
  route: RouteKind,
  variant: AttemptVariant,
  property: Property,
): CheckReport {
  return explore<AttemptState, AttemptModelEvent>({
    name: `attempts, ${route}`,
    variant,
    bounds: `${SERVER_COUNT} servers, ${MAXIMUM_ATTEMPTS} attempts`,
    initial: { attempts: [] },
    events: allEvents(),
    step: (state, event) => stepAttempts(state, event, { route, variant }),
    serialize: (state) => JSON.stringify(state),
    property: property.text,
    holds: property.holds,
    expectsCounterexample: variant !== "as specified",
  });
}

/** Checks the attempts as specified, and that each broken variant fails. */
export function checkAttempts(): CheckReport[] {
  const specified = "as specified";
  return [
    check("at-most-once", specified, RUNS_AT_MOST_ONCE),
    check("at-most-once", specified, NOT_RUN_IS_TRUE),
    check("idempotent", specified, NOT_RUN_IS_TRUE),
    check("idempotent", specified, RUNS_ARE_BOUNDED),
    check("download", specified, RUNS_ARE_BOUNDED),
    check(
      "at-most-once",
      "at-most-once requests are hedged",
      RUNS_AT_MOST_ONCE,
    ),
    check(
      "idempotent",
      "the number of attempts is unlimited",
      RUNS_ARE_BOUNDED,
    ),
    ...(Object.keys(MISREAD_EVIDENCE) as AttemptVariant[]).flatMap((
      variant,
    ) => [
      check("at-most-once", variant, RUNS_AT_MOST_ONCE),
      check("idempotent", variant, NOT_RUN_IS_TRUE),
    ]),
  ];
}
