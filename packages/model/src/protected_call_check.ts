/**
 * Checks the properties of protected calls against the protocol as specified
 * and against variants that are broken on purpose.
 */
import { type CheckReport, explore } from "./explore.ts";
import {
  BOUNDS,
  INITIAL_STATE,
  type ProtectedCallEvent,
  type ProtectedCallState,
  type ProtectedCallVariant,
  serialize,
  step,
} from "./protected_call_model.ts";

const EVENT_TYPES: readonly ProtectedCallEvent["type"][] = [
  "send",
  "resend",
  "deliver to the owner",
  "deliver to the successor",
  "lose a request",
  "duplicate a request",
  "other keys fill the table",
  "run",
  "run and lose the answer",
  "refuse before running",
  "owner crashes",
  "owner restarts",
  "owner closes its table",
  "hand over the first part",
  "hand over the last part",
  "keys expire",
  "drop expired records",
];

type Property = {
  readonly text: string;
  readonly holds: (state: ProtectedCallState) => boolean;
  /** Variants that must yield a counterexample to the property. */
  readonly brokenBy: readonly ProtectedCallVariant[];
};

const PROPERTIES: readonly Property[] = [
  {
    text: "an action runs at most once",
    holds: ({ runs }) => runs.first + runs.second <= 1,
    brokenBy: [
      "records are dropped before they expire",
      "a restarted entry accepts its predecessor's keys",
      "a caller uses a new key after unknown",
    ],
  },
  {
    text: "a key reported as not-run has not run and never runs",
    holds: ({ runs, hasReportedNotRun }) =>
      !(hasReportedNotRun.first && runs.first > 0) &&
      !(hasReportedNotRun.second && runs.second > 0),
    brokenBy: [
      "a key is not closed after not-run",
      "an incomplete hand-over counts as complete",
    ],
  },
];

function check(
  property: Property,
  variant: ProtectedCallVariant,
): CheckReport {
  return explore({
    name: "protected calls",
    variant,
    bounds: BOUNDS,
    initial: INITIAL_STATE,
    events: EVENT_TYPES.map((type) => ({ type })),
    step: (state, event) => step(state, { event, variant }),
    serialize: (state) => serialize(state, variant),
    property: property.text,
    holds: property.holds,
    expectsCounterexample: variant !== "as specified",
  });
}

/** Checks each property as specified and with each variant that breaks it. */
export function checkProtectedCalls(): CheckReport[] {
  return PROPERTIES.flatMap((property) => [
    check(property, "as specified"),
    ...property.brokenBy.map((variant) => check(property, variant)),
  ]);
}
