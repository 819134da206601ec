/**
 * An entry's view of the configuration and the backend servers, built from
 * listings and changes that may arrive late, repeatedly or out of order.
 *
 * - A snapshot is accepted only if its version is higher.
 * - Changes up to the revision of the state are ignored, so that an old message
 *   of a peer cannot bring back a server that was removed.
 * - A registration is accepted only if the same process of the backend server
 *   has not published a newer one, so that a write which the discovery service
 *   performs late cannot bring back a server that is draining.
 * - Evacuations of failure domains are ordered by their own positions, as some
 *   messages of peers leave them out; see `evacuations.ts`.
 * - Registrations expire while the servers cannot reach the discovery service.
 *   Those that are missing after such an outage are kept provisionally and
 *   dropped unless they are renewed within a grace period.
 * - Revisions belong to one era of the service, which ends when the service is
 *   restored from an older copy. With the first listing of a new era, all that
 *   is known of the eras before stays only as far as the servers' own
 *   sequences, and the snapshot's version, are newer than the copy's.
 */
import {
  comparePositions,
  type DiscoveryPosition,
  positionOf,
  type ToldPosition,
  UNKNOWN_ERA,
} from "./discovery_position.ts";
import {
  type EvacuationChange,
  Evacuations,
  type ToldEvacuation,
} from "./evacuations.ts";
import type {
  RoutingSnapshot,
  ServerRegistration,
} from "./routing_snapshot.ts";
import type { FailureDomain } from "./types.ts";

/** A change reported by the discovery service. */
export type DiscoveryChange =
  | { readonly kind: "snapshot"; readonly snapshot: RoutingSnapshot }
  | {
    readonly kind: "registration";
    readonly revision: number;
    readonly registration: ServerRegistration;
    /** In the listing of a peer that drops the record then, unless renewed. */
    readonly graceMilliseconds?: number;
    /** In the listing of a peer that does not use the server until then. */
    readonly withheldMilliseconds?: number;
  }
  | {
    readonly kind: "gone";
    readonly revision: number;
    readonly id: string;
    /**
     * - `unreadable`: the item exists but describes no usable server.
     * - `lost`: the service was restored from a copy without the item.
     */
    readonly reason: "removed" | "unreadable" | "lost";
  }
  | EvacuationChange;

/** Complete contents of the discovery service at a revision. */
export type DiscoveryListing = ToldPosition & {
  readonly changes: readonly DiscoveryChange[];
  /**
   * Number of evacuations among the changes, which are all that are in force.
   * Without it, or with another one, the listing ends no evacuation.
   */
  readonly evacuationCount?: number;
};

export type ServerRecord = {
  readonly registration: ServerRegistration;
  readonly revision: number;
  /** When set, the record is dropped at this time unless it is renewed. */
  readonly provisionalUntilMilliseconds?: number;
};

export type DiscoveryStateOptions = {
  /** How long a record that expired in an outage is kept after the outage. */
  readonly outageGraceMilliseconds: number;
};

type Registered = Extract<DiscoveryChange, { kind: "registration" }>;
type Gone = Extract<DiscoveryChange, { kind: "gone" }>;

type LastRegistration = {
  readonly born: number;
  readonly sequence: number;
  readonly state: ServerRegistration["state"];
  readonly revision: number;
  /** The era in which this registration was removed or dropped, if it was. */
  readonly removedInEra?: number;
};

/** A registration that was removed in an earlier era, found in a copy. */
type WithheldRegistration = {
  readonly change: Registered;
  readonly untilMilliseconds: number;
};

/** What is known of earlier eras counts as older than any revision. */
const BEFORE_FIRST_REVISION = 0;
/** A registration that its server does not renew expires sooner. */
const WITHHELD_MILLISECONDS = 6_000;
/** Maximum number of ids that are remembered to reject late writes. */
const MAXIMUM_REMEMBERED_IDS = 5_000;

export class DiscoveryState {
  readonly #options: DiscoveryStateOptions;
  readonly #records = new Map<string, ServerRecord>();
  readonly #lastRegistrations = new Map<string, LastRegistration>();
  readonly #evacuations: Evacuations;
  readonly #withheld = new Map<string, WithheldRegistration>();
  #snapshot: RoutingSnapshot | undefined;
  #era = UNKNOWN_ERA;
  #revision = 0;
  #graceUntilMilliseconds = -Infinity;

  constructor(options: DiscoveryStateOptions) {
    this.#options = options;
    this.#evacuations = new Evacuations(options.outageGraceMilliseconds);
  }

  get position(): DiscoveryPosition {
    return { era: this.#era, revision: this.#revision };
  }

  get era(): number {
    return this.#era;
  }

  /** The last revision of the current era. */
  get revision(): number {
    return this.#revision;
  }

  get snapshot(): RoutingSnapshot | undefined {
    return this.#snapshot;
  }

  get records(): ReadonlyMap<string, ServerRecord> {
    return this.#records;
  }

  get evacuatedDomains(): number {
    return this.#evacuations.size;
  }

  isEvacuated(failureDomain: FailureDomain): boolean {
    return this.#evacuations.isEvacuated(failureDomain);
  }

  /**
   * The revision after which to watch: older than that of the state if peers
   * have told changes without the evacuations among them. Undefined if only a
   * listing shows whether the evacuations known from before this era go on.
   */
  get watchRevision(): number | undefined {
    const { era, revision } = this.#evacuations.completeTo;
    if (era === this.#era) return Math.min(revision, this.#revision);
    return this.#evacuations.size === 0 ? this.#revision : undefined;
  }

  /** Whether all evacuations up to the position of the state are known. */
  get hasAllEvacuations(): boolean {
    const order = comparePositions(this.#evacuations.completeTo, this.position);
    return order >= 0;
  }

  /** Records that the discovery service answers again after an outage. */
  recordRecovery(now: number): void {
    this.#graceUntilMilliseconds = now + this.#options.outageGraceMilliseconds;
  }

  /**
   * Applies changes of the current era up to `revision`; returns those that had
   * an effect. The state is complete up to its own revision, so older changes
   * are late. From `evacuationsFrom` on no evacuation is missing among them.
   */
  apply(
    changes: readonly DiscoveryChange[],
    revision: number,
    now: number,
    evacuationsFrom = Infinity,
  ): DiscoveryChange[] {
    const current = changes.filter((change) =>
      change.kind === "snapshot" || change.kind === "evacuation" ||
      change.revision > this.#revision
    );
    const applied = this.#applyAll(current, revision, now);
    this.#evacuations.recordComplete(this.#era, evacuationsFrom, revision);
    return applied;
  }

  #applyAll(
    changes: readonly DiscoveryChange[],
    revision: number,
    now: number,
  ): DiscoveryChange[] {
    const applied = changes.filter((change) => this.#applyChange(change, now));
    this.#revision = Math.max(this.#revision, revision);
    return applied;
  }

  /** Applies only the snapshots, which their versions order in all eras. */
  applySnapshots(changes: readonly DiscoveryChange[]): DiscoveryChange[] {
    return changes.filter((change) =>
      change.kind === "snapshot" && this.#applySnapshot(change.snapshot)
    );
  }

  /**
   * Applies a complete listing; removes the servers that it does not hold. Of a
   * listing of an earlier era only the snapshot is applied.
   */
  applyListing(listing: DiscoveryListing, now: number): DiscoveryChange[] {
    const { era } = positionOf(listing);
    const isFirst = this.#revision === 0;
    if (!isFirst && era < this.#era) {
      return this.applySnapshots(listing.changes);
    }
    const isNewEra = !isFirst && era > this.#era;
    if (isNewEra) this.#leaveEra(now);
    this.#era = era;
    const missing = this.#missingFrom(listing, isNewEra ? "lost" : "removed");
    const present = registeredIds(listing);
    for (const id of this.#withheld.keys()) {
      if (!present.has(id)) this.#withheld.delete(id);
    }
    const evacuations = this.#evacuations.applyListing(listing, now);
    const applied = this.#applyAll(
      [...missing, ...listing.changes],
      listing.revision,
      now,
    );
    return [...evacuations, ...applied];
  }

  /** Applies only the evacuations of a listing, which may be an older one. */
  applyEvacuations(listing: DiscoveryListing, now: number): DiscoveryChange[] {
    return this.#evacuations.applyListing(listing, now);
  }

  /** Applies evacuations that a peer repeats; returns the effective ones. */
  mergeEvacuations(
    told: readonly ToldEvacuation[],
    now: number,
  ): DiscoveryChange[] {
    return told.filter((evacuation) => this.#evacuations.merge(evacuation, now))
      .map(({ revision, failureDomain, isEvacuated }) => ({
        kind: "evacuation",
        revision,
        failureDomain,
        isEvacuated,
      }));
  }

  /** Evacuations to repeat to peers: in force, or ended lately. */
  toldEvacuations(now: number): ToldEvacuation[] {
    return this.#evacuations.told(now);
  }

  /** Ends evacuations that were not renewed in their grace period. */
  endExpiredEvacuations(now: number): DiscoveryChange[] {
    return this.#evacuations.endExpired(now);
  }

  /**
   * The changes between this state and a listing of the same era, also those
   * that take effect later here, such as removals in a grace period.
   */
  changesTo(listing: DiscoveryListing): DiscoveryChange[] {
    const version = this.#snapshot?.version ?? -Infinity;
    const newer = listing.changes.filter((change) =>
      change.kind === "snapshot"
        ? change.snapshot.version > version
        : change.kind !== "evacuation" && change.revision > this.#revision
    );
    return [
      ...this.#missingFrom(listing, "removed"),
      ...this.#evacuations.changesTo(listing),
      ...newer,
    ];
  }

  /** Removals of the servers that are known but not listed. */
  #missingFrom(listing: DiscoveryListing, reason: Gone["reason"]): Gone[] {
    const present = registeredIds(listing);
    const { revision } = listing;
    const missing: Gone[] = [];
    for (const [id, record] of this.#records) {
      if (present.has(id) || record.revision > revision) continue;
      missing.push({ kind: "gone", id, reason, revision });
    }
    return missing;
  }

  /**
   * Drops provisional records whose grace period is over; returns their ids.
   */
  dropExpired(now: number): string[] {
    const dropped: string[] = [];
    for (const [id, record] of this.#records) {
      const until = record.provisionalUntilMilliseconds;
      if (until === undefined || until > now) continue;
      this.#records.delete(id);
      this.#recordRemoval(id);
      dropped.push(id);
    }
    return dropped;
  }

  /**
   * Applies withheld registrations that the service still holds after the time
   * in which they would have expired; returns them.
   */
  applyRenewed(now: number): DiscoveryChange[] {
    const renewed: DiscoveryChange[] = [];
    for (const [id, { change, untilMilliseconds }] of this.#withheld) {
      if (untilMilliseconds > now) continue;
      this.#accept(change, now);
      renewed.push(change);
      this.#withheld.delete(id);
    }
    return renewed;
  }

  /**
   * What the service holds, as a listing that a peer can apply, with the newer
   * state of servers where the service has an older one. Provisional records
   * and withheld registrations say for how much longer they are so.
   */
  listing(now: number): DiscoveryListing {
    const changes: DiscoveryChange[] = [];
    if (this.#snapshot !== undefined) {
      changes.push({ kind: "snapshot", snapshot: this.#snapshot });
    }
    for (const record of this.#records.values()) {
      const { registration, revision, provisionalUntilMilliseconds } = record;
      const change = { kind: "registration", registration, revision } as const;
      if (provisionalUntilMilliseconds === undefined) changes.push(change);
      else {
        const graceMilliseconds = Math.max(
          0,
          provisionalUntilMilliseconds - now,
        );
        changes.push({ ...change, graceMilliseconds });
      }
    }
    for (const { change, untilMilliseconds } of this.#withheld.values()) {
      changes.push({
        ...change,
        withheldMilliseconds: Math.max(0, untilMilliseconds - now),
      });
    }
    const evacuations = this.#evacuations.listed(now);
    return {
      ...this.position,
      changes: [...changes, ...evacuations],
      ...(this.hasAllEvacuations
        ? { evacuationCount: evacuations.length }
        : {}),
    };
  }

  /** Makes what is known older than all that the restored service holds. */
  #leaveEra(now: number): void {
    this.recordRecovery(now);
    this.#revision = BEFORE_FIRST_REVISION;
    this.#withheld.clear();
    for (const [id, record] of this.#records) {
      const isProvisional = record.provisionalUntilMilliseconds !== undefined;
      this.#records.set(id, {
        registration: record.registration,
        revision: BEFORE_FIRST_REVISION,
        ...(isProvisional
          ? { provisionalUntilMilliseconds: this.#graceUntilMilliseconds }
          : {}),
      });
    }
    for (const [id, last] of this.#lastRegistrations) {
      this.#lastRegistrations.set(id, {
        ...last,
        revision: BEFORE_FIRST_REVISION,
      });
    }
  }

  #applyChange(change: DiscoveryChange, now: number): boolean {
    switch (change.kind) {
      case "snapshot":
        return this.#applySnapshot(change.snapshot);
      case "registration":
        return this.#applyRegistration(change, now);
      case "gone":
        return this.#applyRemoval(change, now);
      case "evacuation":
        return this.#evacuations.merge({ ...change, era: this.#era }, now);
    }
  }

  #applySnapshot(snapshot: RoutingSnapshot): boolean {
    const known = this.#snapshot;
    if (known !== undefined && known.version >= snapshot.version) return false;
    this.#snapshot = snapshot;
    return true;
  }

  #applyRegistration(change: Registered, now: number): boolean {
    const { registration, revision } = change;
    const { id } = registration;
    const last = this.#lastRegistrations.get(id);
    if (last !== undefined && revision < last.revision) return false;
    const age = last === undefined ? "newer" : compareAge(registration, last);
    const wasRemoved = last?.removedInEra !== undefined &&
      last.removedInEra < this.#era;
    if (age !== "newer" && wasRemoved) {
      const isHeldByService = change.graceMilliseconds === undefined;
      if (last.state === "ready" && isHeldByService) {
        this.#withhold(change, now);
      }
      return false;
    }
    if (age === "older") return false;
    const known = this.#records.get(id);
    if (change.withheldMilliseconds !== undefined) {
      if (known === undefined) this.#withhold(change, now);
      return false;
    }
    if (
      known !== undefined && known.revision === revision &&
      known.provisionalUntilMilliseconds === undefined
    ) return false;
    this.#accept(change, now);
    return true;
  }

  #accept(change: Registered, now: number): void {
    const { registration, revision, graceMilliseconds } = change;
    const { id } = registration;
    this.#withheld.delete(id);
    this.#remember(id, {
      born: registration.bornAtMilliseconds,
      sequence: registration.sequence,
      state: registration.state,
      revision,
    });
    this.#records.set(id, {
      registration,
      revision,
      ...(graceMilliseconds === undefined
        ? {}
        : { provisionalUntilMilliseconds: now + graceMilliseconds }),
    });
  }

  #withhold(
    {
      registration,
      revision,
      withheldMilliseconds = WITHHELD_MILLISECONDS,
    }: Registered,
    now: number,
  ): void {
    const { id } = registration;
    this.#withheld.set(id, {
      change: { kind: "registration", revision, registration },
      untilMilliseconds: this.#withheld.get(id)?.untilMilliseconds ??
        now + withheldMilliseconds,
    });
  }

  #recordRemoval(id: string): void {
    const last = this.#lastRegistrations.get(id);
    if (last === undefined) return;
    this.#lastRegistrations.set(id, { ...last, removedInEra: this.#era });
  }

  #applyRemoval(change: Gone, now: number): boolean {
    this.#withheld.delete(change.id);
    const known = this.#records.get(change.id);
    if (known === undefined || known.revision > change.revision) return false;
    if (change.reason !== "lost") this.#recordRemoval(change.id);
    const isReady = known.registration.state === "ready";
    if (
      change.reason !== "unreadable" && isReady &&
      now < this.#graceUntilMilliseconds
    ) {
      if (known.provisionalUntilMilliseconds !== undefined) return false;
      this.#records.set(change.id, {
        ...known,
        revision: change.revision,
        provisionalUntilMilliseconds: this.#graceUntilMilliseconds,
      });
      return false;
    }
    this.#records.delete(change.id);
    return true;
  }

  #remember(id: string, last: LastRegistration): void {
    this.#lastRegistrations.delete(id);
    this.#lastRegistrations.set(id, last);
    if (this.#lastRegistrations.size <= MAXIMUM_REMEMBERED_IDS) return;
    const oldest = this.#lastRegistrations.keys().next().value;
    if (oldest !== undefined) this.#lastRegistrations.delete(oldest);
  }
}

function registeredIds({ changes }: DiscoveryListing): Set<string> {
  return new Set(
    changes.flatMap((change) =>
      change.kind === "registration" ? [change.registration.id] : []
    ),
  );
}

/** Age of a registration beside the last one of the same id. */
function compareAge(
  registration: ServerRegistration,
  last: LastRegistration,
): "older" | "same" | "newer" {
  const difference = registration.bornAtMilliseconds - last.born ||
    registration.sequence - last.sequence;
  if (difference === 0) return "same";
  return difference < 0 ? "older" : "newer";
}
