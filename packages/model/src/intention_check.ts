/**
 * Specification of merging: three entries read a platform that may be stale,
 * push rows to each other in any order, and are replaced by empty ones.
 */
import type { IntentionRow } from "@marigoldford/kernel/intention";
import {
  compareRows,
  IntentionStore,
} from "@marigoldford/kernel/intention_store";
import { type CheckReport, explore, type ModelEvent } from "./explore.ts";

type IntentionVariant =
  | "as specified"
  | "the last row read wins"
  | "a missing row removes"
  | "the last row published wins";

/** Index of a published row, or undefined for nothing. */
type Held = number | undefined;

type IntentionState = {
  /** How many of the rows have been published. */
  readonly published: number;
  readonly held: readonly Held[];
  readonly replaced: number;
  /** An entry went from a row to one of lower rank, without replacement. */
  readonly hasReverted: boolean;
};

type IntentionEvent = ModelEvent & {
  readonly kind: "publish" | "read" | "push" | "replace";
  readonly entry: number;
  /** Another entry, or the row that a stale platform still shows. */
  readonly other: number;
};

const ENTRIES = 3;
const MOST_REPLACED = 2;

type Published = {
  readonly revision: number;
  readonly digest: string;
  readonly isWithdrawn: boolean;
  /** Whether the sheet of that version has the row at all. */
  readonly isPresent: boolean;
};

/**
 * The morning fix, a racing operator with the same revision, yesterday's
 * export, a sheet without the row, and the deliberate withdrawal.
 */
const PUBLISHED: readonly Published[] = [
  { revision: 1, digest: "old", isWithdrawn: false, isPresent: true },
  { revision: 2, digest: "fix", isWithdrawn: false, isPresent: true },
  { revision: 2, digest: "racer", isWithdrawn: false, isPresent: true },
  { revision: 1, digest: "old", isWithdrawn: false, isPresent: true },
  { revision: 0, digest: "", isWithdrawn: false, isPresent: false },
  { revision: 3, digest: "withdrawn", isWithdrawn: true, isPresent: true },
];

function rowOf(index: number): IntentionRow {
  const { revision, digest, isWithdrawn } = PUBLISHED[index];
  return {
    intention: "fix",
    revision,
    digest,
    isWithdrawn,
    content: { kind: "retiring", address: "127.0.0.1:1" },
    origin: { valueName: "sheet", platformVersion: index + 1, line: 2 },
  };
}

function merge(
  current: Held,
  news: { readonly incoming: Held; readonly variant: IntentionVariant },
): Held {
  const { incoming, variant } = news;
  if (incoming === undefined) return current;
  if (!PUBLISHED[incoming].isPresent) {
    return variant === "a missing row removes" ? undefined : current;
  }
  if (current === undefined || variant === "the last row read wins") {
    return incoming;
  }
  if (variant === "the last row published wins") {
    return Math.max(current, incoming);
  }
  const store = new IntentionStore();
  store.merge([rowOf(current)]);
  store.merge([rowOf(incoming)]);
  const winner = store.find("fix");
  return winner === undefined ? undefined : winner.origin.platformVersion - 1;
}

function isLower(next: Held, current: Held): boolean {
  if (current === undefined) return false;
  if (next === undefined) return true;
  const [nextRow, currentRow] = [rowOf(next), rowOf(current)];
  if (nextRow.digest === currentRow.digest) return false;
  return compareRows(nextRow, currentRow) < 0;
}

function setHeld(
  state: IntentionState,
  change: { readonly entry: number; readonly next: Held },
): IntentionState {
  const current = state.held[change.entry];
  if (current === change.next) return state;
  const held = state.held.with(change.entry, change.next);
  const hasReverted = state.hasReverted || isLower(change.next, current);
  return { ...state, held, hasReverted };
}

function stepIntentions(
  state: IntentionState,
  options: {
    readonly event: IntentionEvent;
    readonly variant: IntentionVariant;
  },
): IntentionState {
  const { event, variant } = options;
  const { entry, other } = event;
  const current = state.held[entry];
  switch (event.kind) {
    case "publish":
      if (state.published >= PUBLISHED.length) return state;
      return { ...state, published: state.published + 1 };
    case "read": {
      if (other >= state.published) return state;
      const next = merge(current, { incoming: other, variant });
      return setHeld(state, { entry, next });
    }
    case "push": {
      const next = merge(state.held[other], { incoming: current, variant });
      return setHeld(state, { entry: other, next });
    }
    case "replace": {
      if (state.replaced >= MOST_REPLACED || current === undefined) {
        return state;
      }
      const held = state.held.with(entry, undefined);
      return { ...state, held, replaced: state.replaced + 1 };
    }
  }
}

function allEvents(): IntentionEvent[] {
  const events: IntentionEvent[] = [
    { type: "publish", kind: "publish", entry: 0, other: 0 },
  ];
  for (let entry = 0; entry < ENTRIES; entry++) {
    const type = `replace ${entry}`;
    events.push({ type, kind: "replace", entry, other: 0 });
    for (let other = 0; other < PUBLISHED.length; other++) {
      const type = `${entry} reads version ${other + 1}`;
      events.push({ type, kind: "read", entry, other });
    }
    for (let other = 0; other < ENTRIES; other++) {
      if (other === entry) continue;
      const type = `${entry} pushes to ${other}`;
      events.push({ type, kind: "push", entry, other });
    }
  }
  return events;
}

type Property = {
  readonly text: string;
  readonly holds: (
    state: IntentionState,
    variant: IntentionVariant,
  ) => boolean;
  readonly brokenBy: readonly IntentionVariant[];
};

/** What entry `at` holds after hearing all others in the given order. */
function afterHearing(
  state: IntentionState,
  hearing: {
    readonly at: number;
    readonly order: readonly number[];
    readonly variant: IntentionVariant;
  },
): Held {
  let held = state.held[hearing.at];
  for (const other of hearing.order) {
    held = merge(held, {
      incoming: state.held[other],
      variant: hearing.variant,
    });
  }
  return held;
}

function digestOf(held: Held): string {
  return held === undefined ? "" : PUBLISHED[held].digest;
}

/** All entries hold the same once each has heard all, in either order. */
function converges(
  state: IntentionState,
  variant: IntentionVariant,
): boolean {
  const results = new Set<string>();
  const orders = [[0, 1, 2], [2, 1, 0]];
  for (let at = 0; at < ENTRIES; at++) {
    for (const order of orders) {
      results.add(digestOf(afterHearing(state, { at, order, variant })));
    }
  }
  return results.size === 1;
}

const PROPERTIES: readonly Property[] = [
  {
    text: "an entry never goes back to a row of lower rank",
    holds: ({ hasReverted }) => !hasReverted,
    brokenBy: [
      "the last row read wins",
      "a missing row removes",
      "the last row published wins",
    ],
  },
  {
    text: "entries that have heard each other agree",
    holds: converges,
    brokenBy: ["the last row read wins"],
  },
];

function check(property: Property, variant: IntentionVariant): CheckReport {
  return explore<IntentionState, IntentionEvent>({
    name: "intentions",
    variant,
    bounds: `${ENTRIES} entries, ${PUBLISHED.length} versions, ` +
      `${MOST_REPLACED} replacements, any stale read`,
    initial: {
      published: 1,
      held: Array.from({ length: ENTRIES }, () => undefined),
      replaced: 0,
      hasReverted: false,
    },
    events: allEvents(),
    step: (state, event) => stepIntentions(state, { event, variant }),
    serialize: (state) =>
      JSON.stringify([
        state.published,
        state.held.map((held) => held ?? null),
        state.replaced,
        state.hasReverted,
      ]),
    property: property.text,
    holds: (state) => property.holds(state, variant),
    expectsCounterexample: variant !== "as specified",
  });
}

/** Each property as specified, then with each variant that breaks it. */
export function checkIntentions(): CheckReport[] {
  return PROPERTIES.flatMap((property) => [
    check(property, "as specified"),
    ...property.brokenBy.map((variant) => check(property, variant)),
  ]);
}
