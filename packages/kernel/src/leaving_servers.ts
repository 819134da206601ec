/**
 * Backend servers that are known to be leaving, from several sources.
 *
 * The sheet and the instance list apply until their next version. A mark that
 * an answer of the backend server, its health endpoint or a peer has set
 * expires, and is renewed by the next such signal. A source that reports
 * nothing, or a healthy server, never clears the mark of another source.
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

type StoredMark = {
  readonly source: LeavingSource;
  readonly signalledAtMilliseconds: number;
  /** When peers were last told of the mark. */
  readonly announcedAtMilliseconds: number;
};

/** Peers are told again after this share of the lifetime of a mark. */
const RENEWAL_INTERVAL_SHARE = 0.25;

export type LeavingServersOptions = {
  readonly clock: Clock;
  readonly retentionMilliseconds: number;
};

export class LeavingServers {
  readonly #options: LeavingServersOptions;
  readonly #marks = new Map<Address, StoredMark>();
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
   * Records a signal; returns whether peers have to be told. They are told again
   * while signals continue, because their marks expire as well.
   */
  recordSignal(
    address: Address,
    signal: { source: LeavingSource; ageMilliseconds?: number },
  ): boolean {
    const { clock, retentionMilliseconds } = this.#options;
    const age = signal.ageMilliseconds ?? 0;
    if (age >= retentionMilliseconds) return false;
    const signalledAtMilliseconds = clock() - age;
    const known = this.#unexpiredMark(address);
    if (
      known !== undefined &&
      known.signalledAtMilliseconds >= signalledAtMilliseconds
    ) return false;
    const { source } = signal;
    const isFromPeer = source === "peer";
    const isAnnouncementDue = known === undefined ||
      signalledAtMilliseconds - known.announcedAtMilliseconds >
        retentionMilliseconds * RENEWAL_INTERVAL_SHARE;
    const mustAnnounce = !isFromPeer && isAnnouncementDue;
    const announcedAtMilliseconds =
      mustAnnounce || known === undefined || isFromPeer
        ? signalledAtMilliseconds
        : known.announcedAtMilliseconds;
    this.#marks.set(address, {
      source,
      signalledAtMilliseconds,
      announcedAtMilliseconds,
    });
    return mustAnnounce;
  }

  has(address: Address): boolean {
    if (this.#sheet.has(address) || this.#instanceList.has(address)) {
      return true;
    }
    return this.#unexpiredMark(address) !== undefined;
  }

  /** The source by which an address counts as leaving, for the status page. */
  sourceOf(address: Address): LeavingSource | undefined {
    if (this.#sheet.has(address)) return "sheet";
    if (this.#instanceList.has(address)) return "instance-list";
    return this.#unexpiredMark(address)?.source;
  }

  /** Marks that peers cannot derive from the sheet or the instance list. */
  marks(): LeavingMark[] {
    const marks: LeavingMark[] = [];
    for (const address of this.#marks.keys()) {
      const mark = this.#unexpiredMark(address);
      if (mark === undefined) continue;
      const ageMilliseconds = this.#options.clock() -
        mark.signalledAtMilliseconds;
      marks.push({ address, source: mark.source, ageMilliseconds });
    }
    return marks;
  }

  #unexpiredMark(address: Address): StoredMark | undefined {
    const mark = this.#marks.get(address);
    if (mark === undefined) return undefined;
    const age = this.#options.clock() - mark.signalledAtMilliseconds;
    if (age < this.#options.retentionMilliseconds) return mark;
    this.#marks.delete(address);
    return undefined;
  }
}
