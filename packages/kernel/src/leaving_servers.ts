/**
 * Backend servers known to be leaving, from whichever source knew first.
 *
 * The sheet and the instance list state it until they state otherwise. A
 * mark from a backend server's own signal, from its health endpoint or from a
 * peer lasts for a while and is renewed by the next such signal. A source
 * that says nothing, or says that all is well, never clears another's mark.
 */
import type { Address, Clock } from "./types.ts";

export type LeavingSource =
  | "sheet"
  | "instance-list"
  | "answer"
  | "health"
  | "peer";

export type LeavingMark = {
  readonly address: Address;
  readonly source: LeavingSource;
  readonly ageMilliseconds: number;
};

type SeenMark = {
  readonly source: LeavingSource;
  readonly seenAt: number;
  /** When peers last learned of the mark. */
  readonly toldAt: number;
};

/** Peers are told again after this share of a mark's life. */
const RENEWAL_SHARE = 0.25;

export type LeavingServersOptions = {
  readonly clock: Clock;
  readonly retentionMilliseconds: number;
};

export class LeavingServers {
  readonly #options: LeavingServersOptions;
  readonly #seen = new Map<Address, SeenMark>();
  #sheet: ReadonlySet<Address> = new Set();
  #instanceList: ReadonlySet<Address> = new Set();

  constructor(options: LeavingServersOptions) {
    this.#options = options;
  }

  setSheet(addresses: ReadonlySet<Address>): void {
    this.#sheet = addresses;
  }

  setInstanceList(addresses: ReadonlySet<Address>): void {
    this.#instanceList = addresses;
  }

  /**
   * Notes a signal; returns whether peers are to be told. They are told anew
   * while signals go on, because their marks expire like this entry's own.
   */
  recordSignal(
    address: Address,
    signal: { source: LeavingSource; ageMilliseconds?: number },
  ): boolean {
    const { clock, retentionMilliseconds: keepMilliseconds } = this.#options;
    const age = signal.ageMilliseconds ?? 0;
    if (age >= keepMilliseconds) return false;
    const seenAt = clock() - age;
    const known = this.#liveMark(address);
    if (known !== undefined && known.seenAt >= seenAt) return false;
    const { source } = signal;
    const isPeers = source === "peer";
    const isDue = known === undefined ||
      seenAt - known.toldAt > keepMilliseconds * RENEWAL_SHARE;
    const tells = !isPeers && isDue;
    const toldAt = tells || known === undefined || isPeers
      ? seenAt
      : known.toldAt;
    this.#seen.set(address, { source, seenAt, toldAt });
    return tells;
  }

  has(address: Address): boolean {
    if (this.#sheet.has(address) || this.#instanceList.has(address)) {
      return true;
    }
    return this.#liveMark(address) !== undefined;
  }

  /** Which source marks an address, for the status page. */
  sourceOf(address: Address): LeavingSource | undefined {
    if (this.#sheet.has(address)) return "sheet";
    if (this.#instanceList.has(address)) return "instance-list";
    return this.#liveMark(address)?.source;
  }

  /** Marks that peers cannot read from the sheet or the instance list. */
  marks(): LeavingMark[] {
    const marks: LeavingMark[] = [];
    for (const address of this.#seen.keys()) {
      const mark = this.#liveMark(address);
      if (mark === undefined) continue;
      const ageMilliseconds = this.#options.clock() - mark.seenAt;
      marks.push({ address, source: mark.source, ageMilliseconds });
    }
    return marks;
  }

  #liveMark(address: Address): SeenMark | undefined {
    const mark = this.#seen.get(address);
    if (mark === undefined) return undefined;
    const age = this.#options.clock() - mark.seenAt;
    if (age < this.#options.retentionMilliseconds) return mark;
    this.#seen.delete(address);
    return undefined;
  }
}
