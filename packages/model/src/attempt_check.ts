/**
 * Specification of the attempts of one request: three servers may run it, at
 * once or after their attempt has ended, and answer, refuse, break or stay
 * silent. Which attempt may follow and what the caller is told come from the
 * kernel's own history; broken variants bend what it is told.
 */
import { AttemptHistory } from "@marigoldford/kernel/attempt_history";
import type { AttemptEvidence } from "@marigoldford/kernel/attempt_outcome";
import type { RouteKind } from "@marigoldford/kernel/routing_snapshot";
import { type CheckReport, explore, type ModelEvent } from "./explore.ts";

type AttemptVariant =
  | "as specified"
  | "a broken connection proves that it did not run"
  | "a time-out proves that it did not run"
  | "an unusable answer proves that it did not run"
  | "requests that may run once are hedged"
  | "attempts are not bounded";

type Ending = AttemptEvidence["kind"];

/** One attempt: what the server did with it, and how it ended here. */
type Attempt = { readonly hasRun: boolean; readonly ending?: Ending };

type AttemptState = {
  readonly attempts: readonly Attempt[];
  /** What the caller was told at the end. */
  readonly told?: "answer" | "not-run" | "unknown";
};

type AttemptStep =
  | { readonly kind: "send" }
  | { readonly kind: "run"; readonly server: number }
  | {
    readonly kind: "end";
    readonly server: number;
    readonly ending: Ending;
  }
  | { readonly kind: "tell" };
type AttemptModelEvent = ModelEvent & AttemptStep;

type Rules = { readonly route: RouteKind; readonly variant: AttemptVariant };

const SERVERS = 3;
const MAXIMUM_ATTEMPTS = 2;
const ENDINGS: readonly Ending[] = [
  "not-connected",
  "refused-by-server",
  "broken",
  "timed-out",
  "unusable-answer",
  "cancelled",
  "answered",
];
/** After these the server has not got the request, or has refused it. */
const NEVER_RUNS: ReadonlySet<Ending> = new Set([
  "not-connected",
  "refused-by-server",
]);
/** These need a server that has run the request. */
const NEEDS_RUN: ReadonlySet<Ending> = new Set(["answered"]);

function evidenceOf(ending: Ending): AttemptEvidence {
  switch (ending) {
    case "refused-by-server":
      return { kind: ending, status: 503 };
    case "broken":
      return { kind: ending, hadAnswerBegun: false };
    case "unusable-answer":
      return { kind: ending, why: "unsigned" };
    case "answered":
      return { kind: ending, status: 500 };
    default:
      return { kind: ending };
  }
}

const BENT: Readonly<Partial<Record<AttemptVariant, Ending>>> = {
  "a broken connection proves that it did not run": "broken",
  "a time-out proves that it did not run": "timed-out",
  "an unusable answer proves that it did not run": "unusable-answer",
};

function historyOf(
  { attempts }: AttemptState,
  variant: AttemptVariant,
): AttemptHistory {
  const history = new AttemptHistory();
  attempts.forEach((_, index) => history.recordStart(String(index)));
  for (const { ending } of attempts) {
    if (ending === undefined) continue;
    const isBent = BENT[variant] === ending;
    history.recordEnd(evidenceOf(isBent ? "not-connected" : ending));
  }
  return history;
}

function maySend(state: AttemptState, { route, variant }: Rules): boolean {
  if (state.told !== undefined || state.attempts.length >= SERVERS) {
    return false;
  }
  if (state.attempts.length === 0) return true;
  const history = historyOf(state, variant);
  const limits = {
    kind: variant === "requests that may run once are hedged"
      ? "idempotent" as const
      : route,
    maximumAttempts: variant === "attempts are not bounded"
      ? Infinity
      : MAXIMUM_ATTEMPTS,
    isBodyBuffered: true,
  };
  return history.running > 0
    ? history.mayHedge(limits)
    : history.mayRetry({ ...limits, kind: route }, false);
}

/** What a caller is told once no attempt runs. */
function tellingOf(
  state: AttemptState,
  variant: AttemptVariant,
): AttemptState["told"] {
  if (state.attempts.some(({ ending }) => ending === "answered")) {
    return "answer";
  }
  const outcome = historyOf(state, variant).outcome(false);
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
  rules: Rules,
): AttemptState {
  if (event.kind === "send") {
    if (!maySend(state, rules)) return state;
    return { ...state, attempts: [...state.attempts, { hasRun: false }] };
  }
  if (event.kind === "tell") {
    const isRunning = state.attempts.some(({ ending }) => ending === undefined);
    if (state.told !== undefined || isRunning) return state;
    return { ...state, told: tellingOf(state, rules.variant) };
  }
  const attempt = state.attempts[event.server];
  if (attempt === undefined) return state;
  if (event.kind === "run") {
    const { ending, hasRun } = attempt;
    const cannot = ending !== undefined && NEVER_RUNS.has(ending);
    return hasRun || cannot
      ? state
      : withAttempt(state, event.server, { hasRun: true });
  }
  if (attempt.ending !== undefined || state.told !== undefined) return state;
  if (
    attempt.hasRun ? NEVER_RUNS.has(event.ending) : NEEDS_RUN.has(event.ending)
  ) {
    return state;
  }
  return withAttempt(state, event.server, { ending: event.ending });
}

function allEvents(): AttemptModelEvent[] {
  const events: AttemptModelEvent[] = [
    { type: "send", kind: "send" },
    { type: "tell", kind: "tell" },
  ];
  for (let server = 0; server < SERVERS; server++) {
    events.push({ type: `${server} runs it`, kind: "run", server });
    for (const ending of ENDINGS) {
      const type = `${server} ends ${ending}`;
      events.push({ type, kind: "end", server, ending });
    }
  }
  return events;
}

function runsOf({ attempts }: AttemptState): number {
  return attempts.filter(({ hasRun }) => hasRun).length;
}

type Property = {
  readonly text: string;
  readonly holds: (state: AttemptState) => boolean;
};

const ONCE: Property = {
  text: "a request that may run once runs once at most",
  holds: (state) => runsOf(state) <= 1,
};
const TRUE_REFUSAL: Property = {
  text: "a request that is refused has not run and never will",
  holds: (state) => state.told !== "not-run" || runsOf(state) === 0,
};
const BOUNDED: Property = {
  text: "no more servers run a request than its route allows",
  holds: (state) => runsOf(state) <= MAXIMUM_ATTEMPTS,
};

function check(
  route: RouteKind,
  variant: AttemptVariant,
  property: Property,
): CheckReport {
  return explore<AttemptState, AttemptModelEvent>({
    name: `attempts, ${route}`,
    variant,
    bounds: `${SERVERS} servers, ${MAXIMUM_ATTEMPTS} attempts`,
    initial: { attempts: [] },
    events: allEvents(),
    step: (state, event) => stepAttempts(state, event, { route, variant }),
    serialize: (state) => JSON.stringify(state),
    property: property.text,
    holds: property.holds,
    expectsCounterexample: variant !== "as specified",
  });
}

/** Checks the attempts of a request; each broken variant breaks a property. */
export function checkAttempts(): CheckReport[] {
  const specified = "as specified";
  return [
    check("at-most-once", specified, ONCE),
    check("at-most-once", specified, TRUE_REFUSAL),
    check("idempotent", specified, TRUE_REFUSAL),
    check("idempotent", specified, BOUNDED),
    check("download", specified, BOUNDED),
    check("at-most-once", "requests that may run once are hedged", ONCE),
    check("idempotent", "attempts are not bounded", BOUNDED),
    ...(Object.keys(BENT) as AttemptVariant[]).flatMap((variant) => [
      check("at-most-once", variant, ONCE),
      check("idempotent", variant, TRUE_REFUSAL),
    ]),
  ];
}
