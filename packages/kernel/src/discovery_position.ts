/**
 * A position in the history of the discovery service.
 *
 * The service may be restored from an older copy. Its revisions then go back
 * and are given out again, and its era rises by one. Revisions order nothing
 * across eras, so a position is the pair of both, ordered by the era first.
 */

export type DiscoveryPosition = {
  readonly era: number;
  readonly revision: number;
};

/** A position as it is told: older software tells no era. */
export type ToldPosition = {
  readonly era?: number;
  readonly revision: number;
};

/** The era of a service or a peer that tells none; below every other one. */
export const UNKNOWN_ERA = 0;

export function positionOf({ era, revision }: ToldPosition): DiscoveryPosition {
  return { era: era ?? UNKNOWN_ERA, revision };
}

/** Below 0 if the first position is older, 0 if both are the same. */
export function comparePositions(
  left: DiscoveryPosition,
  right: DiscoveryPosition,
): number {
  return left.era - right.era || left.revision - right.revision;
}
