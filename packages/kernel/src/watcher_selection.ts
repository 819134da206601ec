/**
 * Decides whether this entry watches the discovery service itself.
 *
 * A few entries watch and pass changes on to the others. Each entry derives the
 * watchers from the members that it knows, without coordination. An entry whose
 * copy of the discovery state is too old also watches, whatever the cause. The
 * entries that would be chosen next do so first, so that the others get the
 * state from them and a large fleet does not call the service all at once.
 */
import { rankOf } from "./rendezvous.ts";

export type WatcherInputs = {
  readonly self: string;
  /** Live members, including this entry. */
  readonly eligible: readonly string[];
  /** Whether this entry took over recently and still watches for it. */
  readonly isActing: boolean;
  readonly watcherCount: number;
  /** Whether this entry has a state at all. */
  readonly hasState: boolean;
  readonly uptimeMilliseconds: number;
  /** Time since the state of this entry was known to be complete. */
  readonly stateAgeMilliseconds: number;
  readonly maximumStateAgeMilliseconds: number;
};

export type WatcherReason = "chosen" | "news-too-old" | "not-needed";

/**
 * Time in which a starting entry learns of its peers: callers wait for it while
 * the whole fleet restarts.
 */
const START_MILLISECONDS = 60;
const START_DELAY_PER_DOUBLING_MILLISECONDS = 25;
/** Entries that may watch in place of each watcher. */
const ACTING_ENTRIES_PER_WATCHER = 4;
/** An entry that peers do not reach calls the service itself, if less often. */
const MAXIMUM_OUTAGE_FACTOR = 4;
/** Time for the state of the first half of the others to reach the rest. */
const DELAY_PER_DOUBLING_MILLISECONDS = 75;

/** An entry among the first may watch in place of the chosen ones. */
function positionOf(
  { self, eligible }: Pick<WatcherInputs, "self" | "eligible">,
): number {
  const rank = rankOf("discovery-watcher", self, eligible);
  return rank < 0 ? eligible.length : rank;
}

/**
 * By how much an entry calls the service less often while it does not answer.
 * The first entries notice its return and tell the others.
 */
export function outageBackoffFactor(
  inputs: Pick<WatcherInputs, "self" | "eligible" | "watcherCount">,
): number {
  const acting = ACTING_ENTRIES_PER_WATCHER * inputs.watcherCount;
  const factor = Math.floor(positionOf(inputs) / acting);
  return Math.min(MAXIMUM_OUTAGE_FACTOR, Math.max(1, factor));
}

export function watcherReason(inputs: WatcherInputs): WatcherReason {
  const { watcherCount } = inputs;
  const position = positionOf(inputs);
  const doublings = Math.log2(Math.max(1, position / watcherCount));
  const mayAct = position < ACTING_ENTRIES_PER_WATCHER * watcherCount;
  if (inputs.isActing && mayAct) return "news-too-old";
  if (!inputs.hasState) {
    const delay = doublings * START_DELAY_PER_DOUBLING_MILLISECONDS;
    return inputs.uptimeMilliseconds < START_MILLISECONDS + delay
      ? "not-needed"
      : "news-too-old";
  }
  const limit = inputs.maximumStateAgeMilliseconds +
    doublings * DELAY_PER_DOUBLING_MILLISECONDS;
  if (inputs.stateAgeMilliseconds > limit) return "news-too-old";
  return position < watcherCount ? "chosen" : "not-needed";
}
