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
  /** Live members that the discovery service has not refused recently. */
  readonly eligible: readonly string[];
  readonly watcherCount: number;
  /** Whether this entry has a state at all. */
  readonly hasState: boolean;
  readonly uptimeMilliseconds: number;
  /** Time since the state of this entry was known to be complete. */
  readonly stateAgeMilliseconds: number;
  readonly maximumStateAgeMilliseconds: number;
};

export type WatcherReason = "chosen" | "news-too-old" | "not-needed";

/** Time in which a starting entry learns of its peers and their state. */
const START_MILLISECONDS = 300;
/** Time for the state of the first half of the others to reach the rest. */
const DELAY_PER_DOUBLING_MILLISECONDS = 75;

export function watcherReason(inputs: WatcherInputs): WatcherReason {
  const { self, eligible, watcherCount } = inputs;
  const rank = rankOf("discovery-watcher", self, eligible);
  const position = rank < 0 ? eligible.length : rank;
  const delay = takeOverDelayMilliseconds(position, watcherCount);
  if (!inputs.hasState) {
    return inputs.uptimeMilliseconds < START_MILLISECONDS + delay
      ? "not-needed"
      : "news-too-old";
  }
  const limit = inputs.maximumStateAgeMilliseconds + delay;
  if (inputs.stateAgeMilliseconds > limit) return "news-too-old";
  return position < watcherCount ? "chosen" : "not-needed";
}

/** How much longer than the chosen watchers an entry waits for a state. */
function takeOverDelayMilliseconds(
  position: number,
  watcherCount: number,
): number {
  const doublings = Math.log2(Math.max(1, position / watcherCount));
  return doublings * DELAY_PER_DOUBLING_MILLISECONDS;
}
