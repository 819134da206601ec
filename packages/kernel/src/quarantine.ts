/**
 * Quarantines requests that crash the backend servers that run them.
 *
 * A connection that breaks before its answer raises a crash suspicion against
 * the requests in flight on that backend server. A request that was in flight
 * at the crashes of `crashesToQuarantine` different backend servers is
 * quarantined, unless all of them ran it before the first one crashed: servers
 * that fail together have a cause of their own. A harmless request is
 * quarantined only if it happened to be in flight at all of these crashes, and
 * cleared by any answer to it.
 */
import type { Address, Clock } from "./types.ts";

export type QuarantineOptions = {
  readonly clock: Clock;
  readonly crashesToQuarantine: number;
  readonly retentionMilliseconds: number;
  readonly maximumSuspects: number;
};

/** A suspicion, as entries send it to each other. */
export type CrashSuspicion = {
  readonly fingerprint: string;
  readonly address: Address;
  /** When the attempt at the server began; if missing, after other crashes. */
  readonly startedAtMilliseconds?: number;
  /** When its connection broke; now, if missing. */
  readonly brokenAtMilliseconds?: number;
};

type Suspect = {
  readonly addresses: Set<Address>;
  firstBrokenAtMilliseconds: number;
  lastStartedAtMilliseconds: number;
  expiresAtMilliseconds: number;
};

export class Quarantine {
  readonly #options: QuarantineOptions;
  readonly #suspects = new Map<string, Suspect>();

  constructor(options: QuarantineOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#suspects.size;
  }

  /** Records a suspicion; returns whether it was new. */
  record(suspicion: CrashSuspicion): boolean {
    const suspect = this.#suspectOf(suspicion.fingerprint);
    if (suspect.addresses.has(suspicion.address)) return false;
    const now = this.#options.clock();
    suspect.addresses.add(suspicion.address);
    suspect.firstBrokenAtMilliseconds = Math.min(
      suspect.firstBrokenAtMilliseconds,
      suspicion.brokenAtMilliseconds ?? now,
    );
    suspect.lastStartedAtMilliseconds = Math.max(
      suspect.lastStartedAtMilliseconds,
      suspicion.startedAtMilliseconds ?? Infinity,
    );
    suspect.expiresAtMilliseconds = now + this.#options.retentionMilliseconds;
    return true;
  }

  /** Number of servers that the request is suspected of having crashed. */
  crashesOf(fingerprint: string): number {
    return this.#suspects.get(fingerprint)?.addresses.size ?? 0;
  }

  /**
   * Clears a request that was answered completely, because it did not crash its
   * backend server. Returns whether it was suspected.
   */
  clearSuspicion(fingerprint: string): boolean {
    return this.#suspects.delete(fingerprint);
  }

  /** Whether the request was in flight at a crash and has not been cleared. */
  isSuspect(fingerprint: string): boolean {
    return this.#suspects.has(fingerprint);
  }

  isQuarantined(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return false;
    if (suspect.expiresAtMilliseconds < this.#options.clock()) {
      this.#suspects.delete(fingerprint);
      return false;
    }
    return suspect.addresses.size >= this.#options.crashesToQuarantine &&
      suspect.lastStartedAtMilliseconds > suspect.firstBrokenAtMilliseconds;
  }

  #suspectOf(fingerprint: string): Suspect {
    const existing = this.#suspects.get(fingerprint);
    if (existing !== undefined) return existing;
    this.#evictOldest();
    const suspect: Suspect = {
      addresses: new Set(),
      firstBrokenAtMilliseconds: Infinity,
      lastStartedAtMilliseconds: -Infinity,
      expiresAtMilliseconds: 0,
    };
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  #evictOldest(): void {
    if (this.#suspects.size < this.#options.maximumSuspects) return;
    const oldest = this.#suspects.keys().next().value;
    if (oldest !== undefined) this.#suspects.delete(oldest);
  }
}
