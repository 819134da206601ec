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
 * - Registrations expire while the servers cannot reach the discovery service.
 *   Those that are missing after such an outage are kept provisionally and
 *   dropped unless they are renewed within a grace period.
 */
import type {
  RoutingSnapshot,
  ServerRegistration,
} from "./routing_snapshot.ts";

/** A change reported by the discovery service. */
export type DiscoveryChange =
  | { readonly kind: "snapshot"; readonly snapshot: RoutingSnapshot }
  | {
    readonly kind: "registration";
    readonly revision: number;
    readonly registration: ServerRegistration;
  }
  | {
    readonly kind: "gone";
    readonly revision: number;
    readonly id: string;
    /** `unreadable`: the item exists but describes no usable server. */
    readonly reason: "removed" | "unreadable";
  };

/** Complete contents of the discovery service at a revision. */
export type DiscoveryListing = {
  /** Counts how often the service was restored from a copy, if known. */
  readonly era?: number;
  readonly revision: number;
  readonly changes: readonly DiscoveryChange[];
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

type LastRegistration = {
  readonly born: number;
  readonly sequence: number;
  readonly revision: number;
};

/** Maximum number of ids that are remembered to reject late writes. */
const MAXIMUM_REMEMBERED_IDS = 5_000;

export class DiscoveryState {
  readonly #options: DiscoveryStateOptions;
  readonly #records = new Map<string, ServerRecord>();
  readonly #lastRegistrations = new Map<string, LastRegistration>();
  #snapshot: RoutingSnapshot | undefined;
  #revision = 0;
  #graceUntilMilliseconds = -Infinity;

  constructor(options: DiscoveryStateOptions) {
    this.#options = options;
  }

  get revision(): number {
    return this.#revision;
  }

  get snapshot(): RoutingSnapshot | undefined {
    return this.#snapshot;
  }

  get records(): ReadonlyMap<string, ServerRecord> {
    return this.#records;
  }

  /** Records that the discovery service answers again after an outage. */
  recordRecovery(now: number): void {
    this.#graceUntilMilliseconds = now + this.#options.outageGraceMilliseconds;
  }

  /**
   * Applies changes up to `revision`; returns those that had an effect. The
   * state is complete up to its own revision, so older changes are late.
   */
  apply(
    changes: readonly DiscoveryChange[],
    revision: number,
    now: number,
  ): DiscoveryChange[] {
    const current = changes.filter((change) =>
      change.kind === "snapshot" || change.revision > this.#revision
    );
    return this.#applyAll(current, revision, now);
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

  /** Applies a complete listing; removes the servers that it does not hold. */
  applyListing(listing: DiscoveryListing, now: number): DiscoveryChange[] {
    const present = new Set<string>();
    for (const change of listing.changes) {
      if (change.kind === "registration") present.add(change.registration.id);
    }
    const missing: DiscoveryChange[] = [];
    for (const [id, record] of this.#records) {
      if (present.has(id) || record.revision > listing.revision) continue;
      missing.push({
        kind: "gone",
        id,
        reason: "removed",
        revision: listing.revision,
      });
    }
    return this.#applyAll(
      [...missing, ...listing.changes],
      listing.revision,
      now,
    );
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
      dropped.push(id);
    }
    return dropped;
  }

  /** The complete state, as a listing that a peer can apply. */
  listing(): DiscoveryListing {
    const changes: DiscoveryChange[] = [];
    if (this.#snapshot !== undefined) {
      changes.push({ kind: "snapshot", snapshot: this.#snapshot });
    }
    for (const { registration, revision } of this.#records.values()) {
      changes.push({ kind: "registration", registration, revision });
    }
    return { revision: this.#revision, changes };
  }

  #applyChange(change: DiscoveryChange, now: number): boolean {
    switch (change.kind) {
      case "snapshot":
        return this.#applySnapshot(change.snapshot);
      case "registration":
        return this.#applyRegistration(change.registration, change.revision);
      case "gone":
        return this.#applyRemoval(change, now);
    }
  }

  #applySnapshot(snapshot: RoutingSnapshot): boolean {
    const known = this.#snapshot;
    if (known !== undefined && known.version >= snapshot.version) return false;
    this.#snapshot = snapshot;
    return true;
  }

  #applyRegistration(
    registration: ServerRegistration,
    revision: number,
  ): boolean {
    const { id } = registration;
    const last = this.#lastRegistrations.get(id);
    if (last !== undefined && revision < last.revision) return false;
    if (last !== undefined && isOlder(registration, last)) return false;
    const known = this.#records.get(id);
    if (
      known !== undefined && known.revision === revision &&
      known.provisionalUntilMilliseconds === undefined
    ) return false;
    this.#remember(id, {
      born: registration.bornAtMilliseconds,
      sequence: registration.sequence,
      revision,
    });
    this.#records.set(id, { registration, revision });
    return true;
  }

  #applyRemoval(
    change: Extract<DiscoveryChange, { kind: "gone" }>,
    now: number,
  ): boolean {
    const known = this.#records.get(change.id);
    if (known === undefined || known.revision > change.revision) return false;
    const isReady = known.registration.state === "ready";
    if (
      change.reason === "removed" && isReady &&
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

/** Whether a registration is older than the last one of the same id. */
function isOlder(
  registration: ServerRegistration,
  last: LastRegistration,
): boolean {
  const { bornAtMilliseconds: born, sequence } = registration;
  if (born !== last.born) return born < last.born;
  return sequence < last.sequence;
}
