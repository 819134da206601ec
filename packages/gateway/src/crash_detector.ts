/**
 * Detects requests that crash backend servers, and quarantines them.
 *
 * If a connection breaks during a request, or the server is silent until the
 * request has no time left, and the server is then down, the request is
 * suspected of having crashed it. Entries report crashes to each
 * other, so that the fleet counts all servers that a request has crashed. An
 * answer to the request, by any server, clears it.
 */
import { createHash } from "node:crypto";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { Quarantine } from "@marigoldford/kernel/quarantine";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { Address, Clock } from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import type { WriteEvent } from "./events.ts";
import type { FleetDatagram } from "./fleet_messages.ts";
import type { CrashSign } from "./server_inquiry.ts";

export type CrashDetectorOptions = {
  readonly self: string;
  readonly clock: Clock;
  readonly settings: {
    /** Crashes of different servers after which a request is quarantined. */
    readonly crashesToQuarantine: number;
    readonly retentionMilliseconds: number;
    readonly maximumSuspects: number;
    /** Longest time that a retry waits for the judgement of a crash. */
    readonly maximumWaitMilliseconds: number;
    /** The same for a request that is one judgement away from quarantine. */
    readonly maximumSuspectWaitMilliseconds: number;
  };
  readonly socket: Pick<DatagramSocket, "send">;
  /** Whether a server is down, not only the way of this entry to it. */
  readonly isDown: (server: ServerLoad, sign?: CrashSign) => Promise<boolean>;
  readonly findServer: (address: Address) => ServerLoad | undefined;
  readonly peers: () => readonly MemberRecord[];
  readonly writeEvent: WriteEvent;
};

/** Equal for requests that differ only in their request ids. */
export type Fingerprint = () => string;

/** An attempt that got no complete answer. */
export type BrokenAttempt = {
  readonly server: ServerLoad;
  readonly startedAtMilliseconds: number;
  /** How it ended; if missing, its connection broke. */
  readonly crashSign?: CrashSign;
};

type CrashDatagram = Extract<FleetDatagram, { kind: "crash" }>;

/** Crashes that are not judged yet, of one request. */
type Trial = {
  readonly judgements: Set<Promise<void>>;
  /** Whether the request was answered meanwhile. */
  isAnswered: boolean;
};

const DIGEST_CHARACTERS = 16;

export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #quarantine: Quarantine;
  readonly #trials = new Map<string, Trial>();

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    const { clock, settings } = options;
    this.#quarantine = new Quarantine({ clock, ...settings });
  }

  /** Whether a request has crashed too many servers to be sent again. */
  isQuarantined(fingerprint: Fingerprint): boolean {
    return this.#quarantine.size > 0 &&
      this.#quarantine.isQuarantined(digestOf(fingerprint()));
  }

  /**
   * Resolves once a request may be sent that judgements in progress may
   * quarantine; undefined if there are too few.
   */
  whenJudged(fingerprint: Fingerprint): Promise<void> | undefined {
    if (this.#trials.size === 0) return undefined;
    const digest = digestOf(fingerprint());
    return this.#isNearQuarantine(digest) ? this.#judged(digest) : undefined;
  }

  /** A request was answered, so it did not crash its server. */
  recordAnswer(fingerprint: Fingerprint): void {
    if (this.#quarantine.size === 0 && this.#trials.size === 0) return;
    const digest = digestOf(fingerprint());
    const trial = this.#trials.get(digest);
    if (trial !== undefined) trial.isAnswered = true;
    const crashes = this.#quarantine.crashesOf(digest);
    if (!this.#quarantine.clearSuspicion(digest)) return;
    const { writeEvent } = this.#options;
    writeEvent({
      event: "crash-suspicion-cleared",
      fingerprint: digest,
      crashes,
    });
  }

  /**
   * Finds out whether an attempt has crashed its server. Resolves when that is
   * known, or when a retry need not wait any longer.
   */
  async checkForCrash(
    fingerprint: Fingerprint,
    attempt: BrokenAttempt,
  ): Promise<void> {
    const digest = digestOf(fingerprint());
    this.#addJudgement(digest, (trial) => this.#judge(digest, attempt, trial));
    await this.#judged(digest);
  }

  recordPeerCrash(datagram: CrashDatagram): void {
    const { fingerprint, judged } = datagram;
    const { clock, findServer, isDown, writeEvent } = this.#options;
    const server = findServer(datagram.server);
    const record = (times = {}) => {
      const suspicion = { fingerprint, address: datagram.server, ...times };
      if (!this.#quarantine.record(suspicion)) return;
      writeEvent({
        event: "crash-suspected",
        fingerprint,
        server: server?.registration.id ?? datagram.server,
        from: "peer",
      });
    };
    if (judged !== undefined) {
      const now = clock();
      return record({
        startedAtMilliseconds: now - judged.startAgeMilliseconds,
        brokenAtMilliseconds: now - judged.breakAgeMilliseconds,
      });
    }
    if (server === undefined) return record();
    this.#addJudgement(fingerprint, async (trial) => {
      if (await isDown(server) && !trial.isAnswered) record();
    });
  }

  #addJudgement(
    digest: string,
    judge: (trial: Trial) => Promise<void>,
  ): void {
    const trial = this.#trials.get(digest) ??
      { judgements: new Set(), isAnswered: false };
    this.#trials.set(digest, trial);
    const judgement = judge(trial).finally(() => {
      trial.judgements.delete(judgement);
      if (trial.judgements.size === 0) this.#trials.delete(digest);
    });
    trial.judgements.add(judgement);
  }

  async #judge(
    digest: string,
    { server, startedAtMilliseconds, crashSign }: BrokenAttempt,
    trial: Trial,
  ): Promise<void> {
    const { self, clock, socket, isDown, peers, writeEvent } = this.#options;
    const { id, address } = server.registration;
    const brokenAtMilliseconds = clock();
    if (!await isDown(server, crashSign) || trial.isAnswered) return;
    const times = { startedAtMilliseconds, brokenAtMilliseconds };
    if (!this.#quarantine.record({ fingerprint: digest, address, ...times })) {
      return;
    }
    writeEvent({
      event: "crash-suspected",
      fingerprint: digest,
      server: id,
      from: "own attempt",
    });
    const now = clock();
    socket.send(peers().map(({ datagramAddress }) => datagramAddress), {
      kind: "crash",
      from: self,
      fingerprint: digest,
      server: address,
      judged: {
        startAgeMilliseconds: now - startedAtMilliseconds,
        breakAgeMilliseconds: now - brokenAtMilliseconds,
      },
    });
  }

  #isNearQuarantine(digest: string): boolean {
    const { crashesToQuarantine } = this.#options.settings;
    const trial = this.#trials.get(digest);
    if (trial === undefined || trial.isAnswered) return false;
    const pending = trial.judgements.size;
    return pending > 0 &&
      this.#quarantine.crashesOf(digest) + pending >= crashesToQuarantine;
  }

  /** Waits for the judgements of a request, but no longer than a retry may. */
  async #judged(digest: string): Promise<void> {
    const { maximumWaitMilliseconds, maximumSuspectWaitMilliseconds } =
      this.#options.settings;
    const limit = this.#isNearQuarantine(digest)
      ? maximumSuspectWaitMilliseconds
      : maximumWaitMilliseconds;
    let timer: ReturnType<typeof setTimeout> | undefined;
    const timeout = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, limit);
    });
    const judgements = [...this.#trials.get(digest)?.judgements ?? []];
    await Promise.race([Promise.all(judgements), timeout]);
    clearTimeout(timer);
  }
}

function digestOf(text: string): string {
  return createHash("sha1").update(text).digest("hex").slice(
    0,
    DIGEST_CHARACTERS,
  );
}
