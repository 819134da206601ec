/**
 * Tells peers when messages were sent, and how old on arrival what theirs tell
 * of is, with the time on the way.
 */
import {
  type Departure,
  TransitDelays,
} from "@marigoldford/kernel/transit_delay";
import type { Clock } from "@marigoldford/kernel/types";

/** How old what a message tells of was when it was sent. */
export type Aged = {
  readonly ageMilliseconds: number;
  /** Builds before do not tell it. */
  readonly departure?: Departure;
};

export class MessageClock {
  readonly #self: string;
  readonly #clock: Clock;
  readonly #transitDelays: TransitDelays;
  #number = 0;

  constructor(self: string, clock: Clock) {
    this.#self = self;
    this.#clock = clock;
    this.#transitDelays = new TransitDelays(clock);
  }

  /** The departure of a message that is sent now. */
  departure(): Departure {
    const clock = `${this.#self}.${this.#number}`;
    return { clock, atMilliseconds: this.#clock() };
  }

  /**
   * The age on arrival; infinite if the message does not say when it was sent.
   * Called once for each message, when it arrives.
   */
  ageOnArrival({ ageMilliseconds, departure }: Aged): number {
    return ageMilliseconds + this.waitedMilliseconds(departure);
  }

  /** Time that a message which arrives now has waited on its way. */
  waitedMilliseconds(departure: Departure | undefined): number {
    if (departure === undefined) return Infinity;
    return this.#transitDelays.record(departure);
  }

  /** Called after the clock of this entry may have stood still. */
  renew(): void {
    this.#number += 1;
  }

  /** Forgets what is known of entries that are gone. */
  expire(): void {
    this.#transitDelays.expire();
  }
}
