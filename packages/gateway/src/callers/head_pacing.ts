/**
 * Paces the reading of requests that callers send ahead, before the answers to
 * those before them. A caller that sends one request at a time never waits.
 *
 * Node reads up to 32 blocks of 64 KiB of a connection in a row and handles all
 * requests in them, so that a few connections that send ahead would delay all
 * others for seconds.
 */
import { setImmediate } from "node:timers";
import type { RequestSize } from "@marigoldford/kernel/request_budget";
import { WorkTurns } from "@marigoldford/kernel/work_turns";
import type { GuardedConnection } from "./guarded_connection.ts";
import type { ReadingTurns } from "./reading_turns.ts";

export type HeadPacingOptions = {
  readonly clock: () => number;
  readonly readingTurns: ReadingTurns;
};

/** Work in about the microseconds of a fast core. */
const REQUEST_WORK = 100;
const LINE_WORK = 3;
const BYTE_WORK = 0.02;
/** A fifth of the time of a fast core. */
const WORK_PER_SECOND = 200_000;

export class HeadPacing {
  readonly #readingTurns: ReadingTurns;
  readonly #workTurns: WorkTurns;
  /** Turn of the event loop, counted while requests arrive. */
  #loopTurn = 0;
  #isTurnScheduled = false;

  constructor({ clock, readingTurns }: HeadPacingOptions) {
    this.#readingTurns = readingTurns;
    this.#workTurns = new WorkTurns({
      clock,
      unitsPerSecond: WORK_PER_SECOND,
      savedUnits: WORK_PER_SECOND,
    });
  }

  /**
   * Counts a request whose head has been read; returns false if its connection
   * has to wait.
   */
  count(
    connection: GuardedConnection,
    { headerLines, headerBytes }: RequestSize,
  ): boolean {
    if (!this.#isTurnScheduled) {
      this.#isTurnScheduled = true;
      setImmediate(() => {
        this.#isTurnScheduled = false;
        this.#loopTurn += 1;
      });
    }
    const isFollowing = connection.lastLoopTurn === this.#loopTurn;
    connection.lastLoopTurn = this.#loopTurn;
    if (!isFollowing) return true;
    const work = REQUEST_WORK + headerLines * LINE_WORK +
      headerBytes * BYTE_WORK;
    return this.#readingTurns.mayReadOn(
      connection.socket,
      this.#workTurns.take(work),
    );
  }
}
