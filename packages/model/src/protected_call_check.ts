/**
 * The properties of protected calls, on the protocol as specified and on
 * variants that are broken on purpose.
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
  "send again",
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
  "forget",
];

type Property = {
  readonly text: string;
  readonly holds: (state: ProtectedCallState) => boolean;
  /** Variants in which the property must fail. */
  readonly brokenBy: readonly ProtectedCallVariant[];
};

const PROPERTIES: readonly Property[] = [
  {
    text: "an action runs at most once",
    holds: ({ runs }) => runs.first + runs.second <= 1,
    brokenBy: [
      "records are forgotten early",
      "a restarted entry runs its predecessor's keys",
      "a caller mints a new key after unknown",
    ],
  },
  {
    text: "a key that was told not-run never ran and never runs",
    holds: ({ runs, everToldNotRun }) =>
      !(everToldNotRun.first && runs.first > 0) &&
      !(everToldNotRun.second && runs.second > 0),
    brokenBy: [
      "a refused key stays open",
      "an incomplete hand-over counts as whole",
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

/** Each property as specified, then with each variant that breaks it. */
export function checkProtectedCalls(): CheckReport[] {
  return PROPERTIES.flatMap((property) => [
    check(property, "as specified"),
    ...property.brokenBy.map((variant) => check(property, variant)),
  ]);
}
