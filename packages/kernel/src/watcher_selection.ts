/**
 * Decides whether this entry watches the discovery service itself.
 *
 * A few entries watch and pass changes on to the others. Each entry derives the
 * watchers from the members that it knows, without coordination. An entry whose
 * copy of the discovery state is too old also watches, whatever the cause.
 */
import { rankOf } from "./rendezvous.ts";

export type WatcherInputs = {
  readonly self: string;
  /** Live members that the discovery service has not refused recently. */
  readonly eligible: readonly string[];
  readonly watcherCount: number;
  /** Time since the state of this entry was known to be complete. */
  readonly stateAgeMilliseconds: number;
  readonly maximumStateAgeMilliseconds: number;
};

export type WatcherReason = "chosen" | "news-too-old" | "not-needed";

export function watcherReason(inputs: WatcherInputs): WatcherReason {
  if (inputs.stateAgeMilliseconds > inputs.maximumStateAgeMilliseconds) {
    return "news-too-old";
  }
  const rank = rankOf("discovery-watcher", inputs.self, inputs.eligible);
  return rank >= 0 && rank < inputs.watcherCount ? "chosen" : "not-needed";
}
