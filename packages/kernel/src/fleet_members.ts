/**
 * Which entries are alive, from the counters that they pass on.
 *
 * Each run of an entry has a random incarnation and counts up. A higher
 * counter is news, whoever passes it on. A run without news for a while is
 * believed dead by this side of a partition, and only by this side.
 */
import type { Address, Clock, EntryState, FailureDomain } from "./types.ts";

/** What entries tell each other of an entry. */
export type MemberRecord = {
  readonly incarnation: string;
  readonly callAddress: Address;
  readonly meshAddress: Address;
  readonly datagramAddress: Address;
  readonly failureDomain: FailureDomain;
  readonly state: EntryState;
  readonly counter: number;
};

type KnownMember = { record: MemberRecord; heardAtMilliseconds: number };

export type FleetMembersOptions = {
  readonly clock: Clock;
  readonly self: () => MemberRecord;
  /** Without news for this long a member of such a fleet counts as dead. */
  readonly silenceMilliseconds: (fleetSize: number) => number;
  /** Dead members still count in shared budgets for this long. */
  readonly forgetMilliseconds: number;
};

export type MembershipChange = {
  readonly kind: "joined" | "state-changed" | "lost";
  readonly record: MemberRecord;
};

export class FleetMembers {
  readonly #options: FleetMembersOptions;
  readonly #known = new Map<string, KnownMember>();
  readonly #lost = new Set<string>();
  #seenAtOnce = 1;

  constructor(options: FleetMembersOptions) {
    this.#options = options;
  }

  /** Takes what a peer passed on; returns the changes of belief. */
  note(records: readonly MemberRecord[]): MembershipChange[] {
    const changes: MembershipChange[] = [];
    const own = this.#options.self().incarnation;
    for (const record of records) {
      if (record.incarnation === own) continue;
      const known = this.#known.get(record.incarnation);
      if (known !== undefined && known.record.counter >= record.counter) {
        continue;
      }
      const heardAtMilliseconds = this.#options.clock();
      if (known === undefined) this.#dropEarlierRuns(record);
      this.#known.set(record.incarnation, { record, heardAtMilliseconds });
      const wasLost = this.#lost.delete(record.incarnation);
      if (known === undefined || wasLost) {
        changes.push({ kind: "joined", record });
      } else if (known.record.state !== record.state) {
        changes.push({ kind: "state-changed", record });
      }
    }
    this.#seenAtOnce = Math.max(this.#seenAtOnce, this.#known.size + 1);
    return changes;
  }

  /** Peers that have not stopped, those heard of last first. */
  alivePeers(): MemberRecord[] {
    const now = this.#options.clock();
    const silence = this.#silenceMilliseconds();
    const alive: KnownMember[] = [];
    for (const known of this.#known.values()) {
      if (known.record.state === "stopped") continue;
      if (now - known.heardAtMilliseconds <= silence) alive.push(known);
    }
    alive.sort((left, right) =>
      right.heardAtMilliseconds - left.heardAtMilliseconds
    );
    return alive.map(({ record }) => record);
  }

  /** This entry and its live peers. */
  alive(): MemberRecord[] {
    return [this.#options.self(), ...this.alivePeers()];
  }

  /** Entries that a shared budget is divided by; errs on the high side. */
  budgetDivisor(): number {
    return this.#seenAtOnce;
  }

  /** Notices members that fell silent and forgets those long dead. */
  sweep(): MembershipChange[] {
    const now = this.#options.clock();
    const silence = this.#silenceMilliseconds();
    const changes: MembershipChange[] = [];
    for (const [incarnation, known] of this.#known) {
      const silent = now - known.heardAtMilliseconds;
      if (silent > this.#options.forgetMilliseconds) {
        this.#known.delete(incarnation);
        this.#lost.delete(incarnation);
      } else if (
        silent > silence &&
        !this.#lost.has(incarnation)
      ) {
        this.#lost.add(incarnation);
        changes.push({ kind: "lost", record: known.record });
      }
    }
    this.#seenAtOnce = Math.max(1, this.#known.size + 1);
    return changes;
  }

  #silenceMilliseconds(): number {
    return this.#options.silenceMilliseconds(this.#known.size + 1);
  }

  /** A new run at an address means that the run before it has ended. */
  #dropEarlierRuns(record: MemberRecord): void {
    for (const [incarnation, known] of this.#known) {
      if (known.record.meshAddress !== record.meshAddress) continue;
      this.#known.delete(incarnation);
    }
  }
}
