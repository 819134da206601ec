/**
 * Quarantines requests that crash the backend servers that run them.
 *
 * A connection that breaks before its answer raises a crash suspicion against
 * the requests in flight on that backend server. A request that was in flight
 * at the crashes of `crashesToQuarantine` different backend servers is
 * quarantined. A harmless request is quarantined only if it happened to be in
 * flight at all of these crashes.
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
};

type Suspect = {
  readonly addresses: Set<Address>;
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
    suspect.addresses.add(suspicion.address);
    suspect.expiresAtMilliseconds = this.#options.clock() +
      this.#options.retentionMilliseconds;
    return true;
  }

  /**
   * Clears a request that was answered completely, because it did not crash its
   * backend server. A quarantined request is not cleared.
   */
  clearSuspicion(fingerprint: string): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return;
    if (suspect.addresses.size >= this.#options.crashesToQuarantine) return;
    this.#suspects.delete(fingerprint);
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
    return suspect.addresses.size >= this.#options.crashesToQuarantine;
  }

  #suspectOf(fingerprint: string): Suspect {
    const existing = this.#suspects.get(fingerprint);
    if (existing !== undefined) return existing;
    this.#evictOldest();
    const suspect: Suspect = {
      addresses: new Set(),
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
