/**
 * The failure domains that the operator has evacuated: their servers get no
 * requests until the evacuation ends.
 *
 * What is known of a domain is ordered by position, as it arrives by several
 * ways: in changes and listings, and repeated in the membership messages of
 * peers. Older builds leave evacuations out of what they pass on, so the state
 * also knows up to which position it has heard of all evacuations.
 */
import {
  comparePositions,
  type DiscoveryPosition,
  positionOf,
  type ToldPosition,
} from "./discovery_position.ts";
import type { FailureDomain } from "./types.ts";

/** The beginning or the end of the evacuation of a failure domain. */
export type EvacuationChange = {
  readonly kind: "evacuation";
  readonly revision: number;
  readonly failureDomain: FailureDomain;
  readonly isEvacuated: boolean;
  /** In what a peer tells: it ends the evacuation then, unless renewed. */
  readonly graceMilliseconds?: number;
};

/** An evacuation as it is repeated between entries. */
export type ToldEvacuation =
  & ToldPosition
  & Omit<EvacuationChange, "kind" | "revision">;

/**
 * Changes that say how many evacuations are among them. The number is missing
 * in those of builds that do not know evacuations, and wrong after such a build
 * has passed them on, because it leaves out the evacuations only.
 */
export type CountedChanges = {
  readonly changes: readonly { readonly kind: string }[];
  readonly evacuationCount?: number;
};

/** A complete listing, if it tells all evacuations. */
export type EvacuationListing = ToldPosition & {
  readonly changes: readonly ({ readonly kind: string } | EvacuationChange)[];
  readonly evacuationCount?: number;
};

type Evacuation = DiscoveryPosition & {
  readonly isEvacuated: boolean;
  readonly changedAtMilliseconds: number;
  /** When set, the evacuation ends at this time unless it is renewed. */
  readonly provisionalUntilMilliseconds?: number;
};

/** What is known of earlier eras counts as older than any revision. */
const BEFORE_FIRST_REVISION = 0;
/** The end of an evacuation is told for this long, to reach the whole fleet. */
const ENDED_TOLD_MILLISECONDS = 30_000;
/** Bounds the size of a membership message; fleets have few domains. */
const MAXIMUM_TOLD = 16;
const BEFORE_ALL: DiscoveryPosition = { era: -Infinity, revision: -Infinity };

export function countEvacuations(
  changes: readonly { readonly kind: string }[],
): number {
  return changes.filter(({ kind }) => kind === "evacuation").length;
}

/** Whether no evacuation is missing from the changes. */
export function hasAllEvacuations(
  { changes, evacuationCount }: CountedChanges,
): boolean {
  return evacuationCount === countEvacuations(changes);
}

export class Evacuations {
  readonly #graceMilliseconds: number;
  readonly #byDomain = new Map<FailureDomain, Evacuation>();
  /** All evacuations up to this position are known. */
  #completeTo = BEFORE_ALL;

  constructor(graceMilliseconds: number) {
    this.#graceMilliseconds = graceMilliseconds;
  }

  /** All evacuations up to this position are known. */
  get completeTo(): DiscoveryPosition {
    return this.#completeTo;
  }

  /** Number of domains that are evacuated now. */
  get size(): number {
    return this.#inForce().length;
  }

  isEvacuated(failureDomain: FailureDomain): boolean {
    return this.#byDomain.get(failureDomain)?.isEvacuated ?? false;
  }

  /** Records what a message says; returns whether it begins or ends one. */
  merge(
    told: ToldEvacuation,
    now: number,
  ): boolean {
    const { failureDomain, isEvacuated, graceMilliseconds } = told;
    const position = positionOf(told);
    const known = this.#byDomain.get(failureDomain);
    const isProvisional = graceMilliseconds !== undefined;
    // An entry that started after a restore has not heard of what it undid.
    const isNews = known === undefined
      ? isProvisional && graceMilliseconds > 0 ||
        comparePositions(position, this.#completeTo) > 0
      : comparePositions(position, known) > 0;
    if (!isNews) {
      this.#correct(told, now);
      return false;
    }
    this.#byDomain.set(failureDomain, {
      ...position,
      isEvacuated,
      changedAtMilliseconds: now,
      ...(isProvisional && isEvacuated
        ? { provisionalUntilMilliseconds: now + graceMilliseconds }
        : {}),
    });
    return isEvacuated !== (known?.isEvacuated ?? false);
  }

  /**
   * Tells the fleet again that an evacuation has ended which an entry still
   * tells: it may have missed the end, and others may believe it.
   */
  #correct(
    { failureDomain, isEvacuated, graceMilliseconds }: ToldEvacuation,
    now: number,
  ): void {
    const isKnown = this.#byDomain.has(failureDomain);
    if (!isEvacuated || isKnown || graceMilliseconds !== undefined) return;
    this.#byDomain.set(failureDomain, {
      ...this.#completeTo,
      isEvacuated: false,
      changedAtMilliseconds: now,
    });
  }

  /** Records that all evacuations between two revisions of an era are known. */
  recordComplete(era: number, fromRevision: number, toRevision: number): void {
    const { era: knownEra, revision } = this.#completeTo;
    if (era !== knownEra || fromRevision > revision) return;
    this.#completeTo = { era, revision: Math.max(revision, toRevision) };
  }

  /**
   * Applies a listing; returns the evacuations that begin or end. Only one that
   * tells all evacuations ends those that it lacks. One that a restored service
   * has lost ends after the grace period.
   */
  applyListing(listing: EvacuationListing, now: number): EvacuationChange[] {
    const position = positionOf(listing);
    const listed = evacuationsIn(listing);
    const effects: EvacuationChange[] = [];
    if (hasAllEvacuations(listing)) {
      effects.push(...this.#missingFrom(listing));
      for (const { failureDomain } of effects) {
        this.#end(failureDomain, position, now);
      }
      for (const failureDomain of this.#lostIn(listing)) {
        this.#byDomain.set(failureDomain, {
          era: position.era,
          revision: BEFORE_FIRST_REVISION,
          isEvacuated: true,
          changedAtMilliseconds: now,
          provisionalUntilMilliseconds: now + this.#graceMilliseconds,
        });
      }
      this.#moveEndedTo(position.era);
    }
    effects.push(
      ...listed.filter((change) =>
        this.merge({ ...change, era: position.era }, now)
      ),
    );
    if (
      hasAllEvacuations(listing) &&
      comparePositions(position, this.#completeTo) > 0
    ) this.#completeTo = position;
    return effects;
  }

  /** What a listing of the same era says beyond what is known. */
  changesTo(listing: EvacuationListing): EvacuationChange[] {
    const { era } = positionOf(listing);
    const newer = evacuationsIn(listing).filter(({ revision }) =>
      comparePositions({ era, revision }, this.#completeTo) > 0
    );
    return [...this.#missingFrom(listing), ...newer];
  }

  /** Ends provisional evacuations whose grace period is over. */
  endExpired(now: number): EvacuationChange[] {
    const ended: EvacuationChange[] = [];
    for (const [failureDomain, known] of this.#inForce()) {
      const until = known.provisionalUntilMilliseconds;
      if (until === undefined || until > now) continue;
      const position = comparePositions(known, this.#completeTo) > 0
        ? known
        : this.#completeTo;
      this.#end(failureDomain, position, now);
      ended.push(endOf(failureDomain, position.revision));
    }
    return ended;
  }

  /** The evacuations in force, as changes of a listing. */
  listed(now: number): EvacuationChange[] {
    return this.#inForce().map(([failureDomain, known]) => ({
      kind: "evacuation",
      revision: known.revision,
      failureDomain,
      isEvacuated: true,
      ...graceOf(known, now),
    }));
  }

  /** Evacuations in force, and those that have ended lately, for peers. */
  told(now: number): ToldEvacuation[] {
    for (const [failureDomain, known] of this.#byDomain) {
      const age = now - known.changedAtMilliseconds;
      if (!known.isEvacuated && age > ENDED_TOLD_MILLISECONDS) {
        this.#byDomain.delete(failureDomain);
      }
    }
    const ended = [...this.#byDomain].filter(([, { isEvacuated }]) =>
      !isEvacuated
    );
    return [...this.#inForce(), ...ended].slice(0, MAXIMUM_TOLD).map((
      [failureDomain, known],
    ) => ({
      era: known.era,
      revision: known.revision,
      failureDomain,
      isEvacuated: known.isEvacuated,
      ...graceOf(known, now),
    }));
  }

  #inForce(): [FailureDomain, Evacuation][] {
    return [...this.#byDomain].filter(([, { isEvacuated }]) => isEvacuated);
  }

  /** Evacuations that are older than the listing and not in it. */
  #olderThan(listing: EvacuationListing): [FailureDomain, Evacuation][] {
    const present = new Set(
      evacuationsIn(listing).map(({ failureDomain }) => failureDomain),
    );
    return this.#inForce().filter(([failureDomain, known]) =>
      !present.has(failureDomain) &&
      known.provisionalUntilMilliseconds === undefined &&
      comparePositions(known, positionOf(listing)) <= 0
    );
  }

  #missingFrom(listing: EvacuationListing): EvacuationChange[] {
    const { era, revision } = positionOf(listing);
    return this.#olderThan(listing)
      .filter(([, known]) => known.era === era)
      .map(([failureDomain]) => endOf(failureDomain, revision));
  }

  /** Domains whose evacuation began in an earlier era than the listing. */
  #lostIn(listing: EvacuationListing): FailureDomain[] {
    const { era } = positionOf(listing);
    return this.#olderThan(listing).filter(([, known]) => known.era < era)
      .map(([failureDomain]) => failureDomain);
  }

  /** An older evacuation that a peer still tells does not begin once more. */
  #moveEndedTo(era: number): void {
    for (const [failureDomain, known] of this.#byDomain) {
      if (known.isEvacuated || known.era >= era) continue;
      const revision = BEFORE_FIRST_REVISION;
      this.#byDomain.set(failureDomain, { ...known, era, revision });
    }
  }

  #end(
    failureDomain: FailureDomain,
    { era, revision }: DiscoveryPosition,
    now: number,
  ): void {
    this.#byDomain.set(failureDomain, {
      era,
      revision,
      isEvacuated: false,
      changedAtMilliseconds: now,
    });
  }
}

function endOf(
  failureDomain: FailureDomain,
  revision: number,
): EvacuationChange {
  return { kind: "evacuation", revision, failureDomain, isEvacuated: false };
}

function evacuationsIn({ changes }: EvacuationListing): EvacuationChange[] {
  return changes.filter((change): change is EvacuationChange =>
    change.kind === "evacuation"
  );
}

function graceOf(
  { provisionalUntilMilliseconds: until }: Evacuation,
  now: number,
): { graceMilliseconds?: number } {
  return until === undefined
    ? {}
    : { graceMilliseconds: Math.max(0, until - now) };
}
