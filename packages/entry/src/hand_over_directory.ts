/**
 * Records which successor holds the table of an entry that has left.
 */
import type { HandOver } from "@marigoldford/kernel/key_routing";
import type { Clock, Incarnation } from "@marigoldford/kernel/types";

type KnownHandOver = { readonly handOver: HandOver; readonly notedAt: number };

const MAXIMUM_HAND_OVERS = 1_000;

export class HandOverDirectory {
  readonly #clock: Clock;
  readonly #retentionMilliseconds: number;
  readonly #known = new Map<Incarnation, KnownHandOver>();

  constructor(clock: Clock, retentionMilliseconds: number) {
    this.#clock = clock;
    this.#retentionMilliseconds = retentionMilliseconds;
  }

  /** Records a hand-over; returns whether it was new and there was capacity. */
  record(handOver: HandOver): boolean {
    if (this.find(handOver.leaver) !== undefined) return false;
    if (this.#known.size >= MAXIMUM_HAND_OVERS) return false;
    this.#known.set(handOver.leaver, { handOver, notedAt: this.#clock() });
    return true;
  }

  find(leaver: Incarnation): HandOver | undefined {
    return this.#known.get(leaver)?.handOver;
  }

  all(): HandOver[] {
    return [...this.#known.values()].map(({ handOver }) => handOver);
  }

  /** Drops hand-overs whose keys have all expired. */
  dropExpired(): void {
    const oldestRetained = this.#clock() - this.#retentionMilliseconds;
    for (const [leaver, { notedAt }] of this.#known) {
      if (notedAt < oldestRetained) this.#known.delete(leaver);
    }
  }
}
