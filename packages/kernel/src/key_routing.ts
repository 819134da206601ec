/**
 * Decides which entry answers a call with an idempotency key.
 *
 * The key itself names its owner. An entry's knowledge of the membership only
 * decides how to reach the owner, so stale knowledge can lead to an unknown
 * outcome but never to a second run.
 */
import type { Incarnation } from "./types.ts";

/** A completed hand-over: the successor has acknowledged every part. */
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
  /** This entry is the successor and answers from the adopted table. */
  | { readonly kind: "adopted" }
  | { readonly kind: "forward"; readonly to: Incarnation }
  | { readonly kind: "unreachable" };

/** Maximum number of consecutive hand-overs followed for one key. */
const MAXIMUM_HAND_OVERS = 8;

/** Chooses the entry that answers for keys of `owner`. */
export function routeKey(
  owner: Incarnation,
  inputs: KeyRoutingInputs,
): KeyRoute {
  let holder = owner;
  for (let count = 0; count < MAXIMUM_HAND_OVERS; count++) {
    if (holder === inputs.self) return routeToSelf(owner, inputs);
    const handOver = inputs.handOverOf(holder);
    if (handOver === undefined) return routeToPeer(holder, inputs);
    holder = handOver.successor;
  }
  return { kind: "unreachable" };
}

function routeToSelf(owner: Incarnation, inputs: KeyRoutingInputs): KeyRoute {
  return { kind: owner === inputs.self ? "own" : "adopted" };
}

function routeToPeer(holder: Incarnation, inputs: KeyRoutingInputs): KeyRoute {
  if (!inputs.isReachable(holder)) return { kind: "unreachable" };
  return { kind: "forward", to: holder };
}
