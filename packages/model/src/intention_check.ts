/**
 * Specification of how intention rows are merged: three entries read a
 * platform that may be stale, push rows to each other in any order, and are
 * replaced by new entries that hold no rows.
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
  | "a missing row removes the held one"
  | "the last row published wins";

/** Index into `PUBLISHED_ROWS`, or undefined if the entry holds no row. */
type HeldRowIndex = number | undefined;

type IntentionState = {
  /** Number of rows published so far. */
  readonly publishedCount: number;
  readonly held: readonly HeldRowIndex[];
  /** Number of entries that were replaced by new, empty ones. */
  readonly replacementCount: number;
  /** Whether a running entry went from a row to one of lower rank or none. */
  readonly hasReverted: boolean;
};

type IntentionEvent = ModelEvent & {
  readonly kind: "publish" | "read" | "push" | "replace";
  readonly entry: number;
  /** The receiving entry of a push, or the row that a stale read returns. */
  readonly other: number;
};

const ENTRY_COUNT = 3;
const MAXIMUM_REPLACEMENTS = 2;

type PublishedRow = {
  readonly revision: number;
  readonly digest: string;
  readonly isWithdrawn: boolean;
  /** Whether the sheet of this version contains the row. */
  readonly isPresent: boolean;
};

/**
 * The original row, a fix, a concurrent edit with the same revision, an
 * outdated export of the original, a sheet without the row, and a withdrawal.
 */
const PUBLISHED_ROWS: readonly PublishedRow[] = [
  { revision: 1, digest: "old", isWithdrawn: false, isPresent: true },
  { revision: 2, digest: "fix", isWithdrawn: false, isPresent: true },
  { revision: 2, digest: "racer", isWithdrawn: false, isPresent: true },
  { revision: 1, digest: "old", isWithdrawn: false, isPresent: true },
  { revision: 0, digest: "", isWithdrawn: false, isPresent: false },
  { revision: 3, digest: "withdrawn", isWithdrawn: true, isPresent: true },
];

function makeRow(index: number): IntentionRow {
  const { revision, digest, isWithdrawn } = PUBLISHED_ROWS[index];
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
  current: HeldRowIndex,
  options: {
    readonly incoming: HeldRowIndex;
    readonly variant: IntentionVariant;
  },
): HeldRowIndex {
  const { incoming, variant } = options;
  if (incoming === undefined) return current;
  if (!PUBLISHED_ROWS[incoming].isPresent) {
    return variant === "a missing row removes the held one"
      ? undefined
      : current;
  }
  if (current === undefined || variant === "the last row read wins") {
    return incoming;
  }
  if (variant === "the last row published wins") {
    return Math.max(current, incoming);
  }
  const store = new IntentionStore();
  store.merge([makeRow(current)]);
  store.merge([makeRow(incoming)]);
  const winner = store.find("fix");
  return winner === undefined ? undefined : winner.origin.platformVersion - 1;
}

function hasLowerRank(next: HeldRowIndex, current: HeldRowIndex): boolean {
  if (current === undefined) return false;
  if (next === undefined) return true;
  const [nextRow, currentRow] = [makeRow(next), makeRow(current)];
  if (nextRow.digest === currentRow.digest) return false;
  return compareRows(nextRow, currentRow) < 0;
}

function setHeld(
  state: IntentionState,
  change: { readonly entry: number; readonly next: HeldRowIndex },
): IntentionState {
  const current = state.held[change.entry];
  if (current === change.next) return state;
  const held = state.held.with(change.entry, change.next);
  const hasReverted = state.hasReverted || hasLowerRank(change.next, current);
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
      if (state.publishedCount >= PUBLISHED_ROWS.length) return state;
      return { ...state, publishedCount: state.publishedCount + 1 };
    case "read": {
      if (other >= state.publishedCount) return state;
      const next = merge(current, { incoming: other, variant });
      return setHeld(state, { entry, next });
    }
    case "push": {
      const next = merge(state.held[other], { incoming: current, variant });
      return setHeld(state, { entry: other, next });
    }
    case "replace": {
      if (
        state.replacementCount >= MAXIMUM_REPLACEMENTS || current === undefined
      ) {
        return state;
      }
      const held = state.held.with(entry, undefined);
      return { ...state, held, replacementCount: state.replacementCount + 1 };
    }
  }
}

function allEvents(): IntentionEvent[] {
  const events: IntentionEvent[] = [
    { type: "publish", kind: "publish", entry: 0, other: 0 },
  ];
  for (let entry = 0; entry < ENTRY_COUNT; entry++) {
    const type = `replace ${entry}`;
    events.push({ type, kind: "replace", entry, other: 0 });
    for (let other = 0; other < PUBLISHED_ROWS.length; other++) {
      const type = `${entry} reads version ${other + 1}`;
      events.push({ type, kind: "read", entry, other });
    }
    for (let other = 0; other < ENTRY_COUNT; other++) {
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

/** The row that `entry` holds after merging those of `order` in turn. */
function mergeFromOthers(
  state: IntentionState,
  options: {
    readonly entry: number;
    readonly order: readonly number[];
    readonly variant: IntentionVariant;
  },
): HeldRowIndex {
  let held = state.held[options.entry];
  for (const other of options.order) {
    held = merge(held, {
      incoming: state.held[other],
      variant: options.variant,
    });
  }
  return held;
}

function digestOf(held: HeldRowIndex): string {
  return held === undefined ? "" : PUBLISHED_ROWS[held].digest;
}

/** All entries agree once each has merged all rows, in either order. */
function converges(
  state: IntentionState,
  variant: IntentionVariant,
): boolean {
  const results = new Set<string>();
  const orders = [[0, 1, 2], [2, 1, 0]];
  for (let entry = 0; entry < ENTRY_COUNT; entry++) {
    for (const order of orders) {
      results.add(digestOf(mergeFromOthers(state, { entry, order, variant })));
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
      "a missing row removes the held one",
      "the last row published wins",
    ],
  },
  {
    text: "entries that have merged each other's rows agree",
    holds: converges,
    brokenBy: ["the last row read wins"],
  },
];

function check(property: Property, variant: IntentionVariant): CheckReport {
  return explore<IntentionState, IntentionEvent>({
    name: "intentions",
    variant,
    bounds: `${ENTRY_COUNT} entries, ${PUBLISHED_ROWS.length} versions, ` +
      `${MAXIMUM_REPLACEMENTS} replacements, any stale read`,
    initial: {
      publishedCount: 1,
      held: Array.from({ length: ENTRY_COUNT }, () => undefined),
      replacementCount: 0,
      hasReverted: false,
    },
    events: allEvents(),
    step: (state, event) => stepIntentions(state, { event, variant }),
    serialize: (state) =>
      JSON.stringify([
        state.publishedCount,
        state.held.map((held) => held ?? null),
        state.replacementCount,
        state.hasReverted,
      ]),
    property: property.text,
    holds: (state) => property.holds(state, variant),
    expectsCounterexample: variant !== "as specified",
  });
}

/** Checks each property as specified and with each variant that breaks it. */
export function checkIntentions(): CheckReport[] {
  return PROPERTIES.flatMap((property) => [
    check(property, "as specified"),
    ...property.brokenBy.map((variant) => check(property, variant)),
  ]);
}
