/**
 * What an entry believes about the configuration and the backend servers,
 * built from readings and changes that arrive out of order, twice or late.
 *
 * - A snapshot is taken only if its version is higher.
 * - A registration is taken only if the same run of the backend server has
 *   not said something newer, so that a write which the discovery service
 *   performs late cannot bring back a server that is draining.
 * - Registrations expire when the discovery service cannot be reached by the
 *   servers. Those that are missing after such an outage are kept
 *   provisionally and dropped unless they return within a bound.
 */
import type {
  RoutingSnapshot,
  ServerRegistration,
} from "./routing_snapshot.ts";

/** One change as the discovery service reports it. */
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
    /** `unreadable`: the entry is there but names no server to use. */
    readonly reason: "removed" | "unreadable";
  };

/** Everything the discovery service holds at a revision. */
export type DiscoveryListing = {
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
  /** How long a record that expired in an outage is kept after its end. */
  readonly outageGraceMilliseconds: number;
};

type Spoken = {
  readonly born: number;
  readonly sequence: number;
  readonly revision: number;
};

/** Forgotten ids are remembered this many times to refuse late writes. */
const MOST_REMEMBERED_IDS = 5_000;

export class DiscoveryState {
  readonly #options: DiscoveryStateOptions;
  readonly #records = new Map<string, ServerRecord>();
  readonly #lastSpoken = new Map<string, Spoken>();
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

  /** The discovery service answers again after an outage. */
  recordRecovery(now: number): void {
    this.#graceUntilMilliseconds = now + this.#options.outageGraceMilliseconds;
  }

  /** Takes changes that lead up to `revision`; returns those that count. */
  apply(
    changes: readonly DiscoveryChange[],
    revision: number,
    now: number,
  ): DiscoveryChange[] {
    const taken = changes.filter((change) => this.#take(change, now));
    this.#revision = Math.max(this.#revision, revision);
    return taken;
  }

  /** Takes a complete reading; what it lacks has gone. */
  applyListing(reading: DiscoveryListing, now: number): DiscoveryChange[] {
    const present = new Set<string>();
    for (const change of reading.changes) {
      if (change.kind === "registration") present.add(change.registration.id);
    }
    const missing: DiscoveryChange[] = [];
    for (const [id, record] of this.#records) {
      if (present.has(id) || record.revision > reading.revision) continue;
      missing.push({
        kind: "gone",
        id,
        reason: "removed",
        revision: reading.revision,
      });
    }
    return this.apply(
      [...missing, ...reading.changes],
      reading.revision,
      now,
    );
  }

  /** Drops provisional records whose time is over; returns their ids. */
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

  /** Everything held, as a reading that a peer can take. */
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

  #take(change: DiscoveryChange, now: number): boolean {
    switch (change.kind) {
      case "snapshot":
        return this.#takeSnapshot(change.snapshot);
      case "registration":
        return this.#takeRegistration(change.registration, change.revision);
      case "gone":
        return this.#takeGone(change, now);
    }
  }

  #takeSnapshot(snapshot: RoutingSnapshot): boolean {
    const known = this.#snapshot;
    if (known !== undefined && known.version >= snapshot.version) return false;
    this.#snapshot = snapshot;
    return true;
  }

  #takeRegistration(
    registration: ServerRegistration,
    revision: number,
  ): boolean {
    const { id } = registration;
    const spoken = this.#lastSpoken.get(id);
    if (spoken !== undefined && revision < spoken.revision) return false;
    if (spoken !== undefined && isOlder(registration, spoken)) return false;
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

  #takeGone(
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

  #remember(id: string, spoken: Spoken): void {
    this.#lastSpoken.delete(id);
    this.#lastSpoken.set(id, spoken);
    if (this.#lastSpoken.size <= MOST_REMEMBERED_IDS) return;
    const oldest = this.#lastSpoken.keys().next().value;
    if (oldest !== undefined) this.#lastSpoken.delete(oldest);
  }
}

/** Whether a run of the server, or an earlier one, said this before. */
function isOlder(registration: ServerRegistration, spoken: Spoken): boolean {
  const { bornAtMilliseconds: born, sequence } = registration;
  if (born !== spoken.born) return born < spoken.born;
  return sequence < spoken.sequence;
}
