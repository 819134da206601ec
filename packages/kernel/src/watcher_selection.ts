/**
 * Decides whether this entry reads the discovery service itself.
 *
 * A few entries watch and tell the rest; which ones follows from the members
 * that each entry knows, without an agreement. An entry whose news is too old
 * watches on its own account, whatever the reason for the silence.
 */
import { rankMembers } from "./rendezvous.ts";

export type WatcherInputs = {
  readonly self: string;
  /** Live members that have not been turned away by the service lately. */
  readonly eligible: readonly string[];
  readonly watcherCount: number;
  /** Time since this entry knew that its state was complete. */
  readonly stateAgeMilliseconds: number;
  readonly maximumStateAgeMilliseconds: number;
};

export type WatcherReason = "chosen" | "news-too-old" | "not-needed";

export function watcherReason(view: WatcherInputs): WatcherReason {
  if (view.stateAgeMilliseconds > view.maximumStateAgeMilliseconds) {
    return "news-too-old";
  }
  const ranked = rankMembers("discovery-watcher", view.eligible);
  const place = ranked.indexOf(view.self);
  return place >= 0 && place < view.watcherCount ? "chosen" : "not-needed";
}
