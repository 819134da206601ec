/**
 * Remembers which successor holds the table of an entry that has left.
 */
import type { HandOver } from "@marigoldford/kernel/key_routing";
import type { Clock, Incarnation } from "@marigoldford/kernel/types";

type KnownHandOver = { readonly handOver: HandOver; readonly notedAt: number };

const MOST_HAND_OVERS = 1_000;

export class HandOverDirectory {
  readonly #clock: Clock;
  readonly #keepMilliseconds: number;
  readonly #known = new Map<Incarnation, KnownHandOver>();

  constructor(clock: Clock, keepMilliseconds: number) {
    this.#clock = clock;
    this.#keepMilliseconds = keepMilliseconds;
  }

  /** Takes a hand-over in; returns whether it was news. */
  record(handOver: HandOver): boolean {
    if (this.find(handOver.leaver) !== undefined) return false;
    if (this.#known.size >= MOST_HAND_OVERS) return false;
    this.#known.set(handOver.leaver, { handOver, notedAt: this.#clock() });
    return true;
  }

  find(leaver: Incarnation): HandOver | undefined {
    return this.#known.get(leaver)?.handOver;
  }

  all(): HandOver[] {
    return [...this.#known.values()].map(({ handOver }) => handOver);
  }

  /** Forgets hand-overs whose keys have all expired. */
  dropExpired(): void {
    const oldest = this.#clock() - this.#keepMilliseconds;
    for (const [leaver, { notedAt }] of this.#known) {
      if (notedAt < oldest) this.#known.delete(leaver);
    }
  }
}
