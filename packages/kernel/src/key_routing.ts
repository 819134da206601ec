/**
 * Decides which entry answers for an idempotency key.
 *
 * The owner is written in the key. Views of membership only decide how to
 * reach it, so two stale views can lead to `unknown`, never to a second run.
 */
import type { Incarnation } from "./types.ts";

/** A finished hand-over: the successor has acknowledged the last part. */
export type HandOver = {
  readonly leaver: Incarnation;
  readonly successor: Incarnation;
};

export type KeyRoutingInputs = {
  readonly self: Incarnation;
  readonly isReachable: (entry: Incarnation) => boolean;
  readonly handOverOf: (leaver: Incarnation) => HandOver | undefined;
};

export type KeyRoute =
  | { readonly kind: "own" }
  /** This entry is a successor and answers from what it was handed. */
  | { readonly kind: "adopted" }
  | { readonly kind: "forward"; readonly to: Incarnation }
  | { readonly kind: "unreachable" };

/** Longest chain of hand-overs followed for one key. */
const LONGEST_SUCCESSION = 8;

/** Chooses who answers for a key of `owner`. */
export function routeKey(owner: Incarnation, view: KeyRoutingInputs): KeyRoute {
  let holder = owner;
  for (let step = 0; step < LONGEST_SUCCESSION; step++) {
    if (holder === view.self) return routeToSelf(owner, view);
    const handOver = view.handOverOf(holder);
    if (handOver === undefined) return routeToPeer(holder, view);
    holder = handOver.successor;
  }
  return { kind: "unreachable" };
}

function routeToSelf(owner: Incarnation, view: KeyRoutingInputs): KeyRoute {
  return { kind: owner === view.self ? "own" : "adopted" };
}

function routeToPeer(holder: Incarnation, view: KeyRoutingInputs): KeyRoute {
  if (!view.isReachable(holder)) return { kind: "unreachable" };
  return { kind: "forward", to: holder };
}
