/**
 * Finds out whether a backend server is down, or only the way of this entry to
 * it.
 *
 * The entry tries to reach the server itself, then asks a few peers to. Without
 * an answer of theirs, a server counts as down if it is silent towards all and
 * this entry reaches others.
 */
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import {
  judgeServer,
  type ServerFinding,
} from "@marigoldford/kernel/server_verdict";
import type {
  Address,
  Clock,
  FailureDomain,
  RandomSource,
  ServiceName,
} from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import type { WriteEvent } from "./events.ts";
import type { FleetDatagram } from "./fleet_messages.ts";
import type { Prober, ProbeResult } from "./prober.ts";
import type { ServerTable } from "./server_table.ts";

export type ServerInquiryOptions = {
  readonly self: string;
  readonly failureDomain: FailureDomain;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly servers: Pick<ServerTable, "find" | "all">;
  readonly prober: Pick<Prober, "check">;
  readonly peers: () => readonly MemberRecord[];
  readonly socket: Pick<DatagramSocket, "send">;
  /** Services whose servers this entry does not reach. */
  readonly unreached: () => readonly ServiceName[];
  readonly writeEvent: WriteEvent;
};

type ReachDatagram = Extract<FleetDatagram, { kind: "reach" }>;

/** Peers that are asked about a server. */
const ASKED_PEERS = 5;
/** Servers that are looked at for a peer by one message. */
const MAXIMUM_ASKS = 16;
/** A peer waits up to 400 ms for the server; the rest is the way there. */
const ANSWER_MILLISECONDS = 600;
/** Other servers that are tried to tell whether this entry reaches any. */
const COMPARED_SERVERS = 3;

/** What made an entry suspect that a server is down. */
export type CrashSign = "broken-connection" | "silence";

/**
 * Whether a probe shows a server to be down. One that is only silent may be
 * slow, or the entry that asks may be, unless it has already been silent for as
 * long as a request may take.
 */
function showsDown(result: ProbeResult, sign: CrashSign): boolean {
  return result === "failed" || sign === "silence" && result === "silent";
}

class Question {
  readonly askedAtMilliseconds: number;
  readonly #asked: ReadonlySet<string>;
  readonly #findings = new Map<string, ServerFinding>();
  readonly #onVerdict: () => void;

  constructor(asked: readonly string[], now: number, onVerdict: () => void) {
    this.#asked = new Set(asked);
    this.askedAtMilliseconds = now;
    this.#onVerdict = onVerdict;
  }

  add(peer: string, finding: ServerFinding): void {
    if (!this.#asked.has(peer)) return;
    this.#findings.set(peer, finding);
    const verdict = judgeServer(this.findings, this.#asked.size);
    if (verdict !== "open") this.#onVerdict();
  }

  get findings(): ServerFinding[] {
    return [...this.#findings.values()];
  }
}

export class ServerInquiry {
  readonly #options: ServerInquiryOptions;
  readonly #inquiries = new Map<string, Promise<boolean>>();
  /** By server; attempts that ended in different ways may each ask. */
  readonly #questions = new Map<string, Set<Question>>();

  constructor(options: ServerInquiryOptions) {
    this.#options = options;
  }

  /** Whether a server is down; joins an inquiry that is in progress. */
  isDown(
    server: ServerLoad,
    sign: CrashSign = "broken-connection",
  ): Promise<boolean> {
    const key = `${server.registration.id} ${sign}`;
    const inProgress = this.#inquiries.get(key);
    if (inProgress !== undefined) return inProgress;
    const inquiry = this.#inquire(server, sign).finally(() =>
      this.#inquiries.delete(key)
    );
    this.#inquiries.set(key, inquiry);
    return inquiry;
  }

  /** Tries to reach the servers that a peer asks about, or notes its findings. */
  receive(datagram: ReachDatagram, sender: Address): void {
    const { from, unreached, asks = [], findings = [] } = datagram;
    const sign = datagram.isAfterSilence ? "silence" : "broken-connection";
    if (asks.length > 0) void this.#answer(sender, asks, sign);
    for (const { server, isReached } of findings) {
      const service = this.#options.servers.find(server)?.load.registration
        .service;
      const isCut = service !== undefined && unreached.includes(service);
      const finding = isReached ? "reached" : isCut ? "cut" : "not-reached";
      for (const question of this.#questions.get(server) ?? []) {
        question.add(from, finding);
      }
    }
  }

  async #inquire(server: ServerLoad, sign: CrashSign): Promise<boolean> {
    const { clock, prober, writeEvent } = this.#options;
    const startedAt = clock();
    if (!showsDown(await prober.check(server), sign)) return false;
    const findings = await this.#askPeers(server, sign);
    const verdict = judgeServer(findings, findings.length);
    const isDown = verdict === "unknown"
      ? await this.#isDownAlone(server, startedAt)
      : verdict === "down";
    writeEvent({
      event: "server-judged",
      server: server.registration.id,
      isDown,
      findings: findings.join(" "),
      elapsedMilliseconds: Math.round(clock() - startedAt),
    });
    return isDown;
  }

  /** What peers find that try to reach the server. */
  async #askPeers({ registration: { id } }: ServerLoad, sign: CrashSign) {
    const { self, socket, unreached, clock } = this.#options;
    const peers = this.#choosePeers();
    if (peers.length === 0) return [];
    const asked = peers.map(({ incarnation }) => incarnation);
    const question = await new Promise<Question>((resolve) => {
      const timer = setTimeout(() => resolve(question), ANSWER_MILLISECONDS);
      const question = new Question(asked, clock(), () => {
        clearTimeout(timer);
        resolve(question);
      });
      this.#questions.set(id, this.#questionsOf(id).add(question));
      socket.send(peers.map(({ datagramAddress }) => datagramAddress), {
        kind: "reach",
        from: self,
        unreached: unreached(),
        asks: [id],
        ...(sign === "silence" ? { isAfterSilence: true } : {}),
      });
    });
    const questions = this.#questionsOf(id);
    questions.delete(question);
    if (questions.size === 0) this.#questions.delete(id);
    return question.findings;
  }

  #questionsOf(server: string): Set<Question> {
    return this.#questions.get(server) ?? new Set();
  }

  /** Peers of as many failure domains as there are, others than the own first. */
  #choosePeers(): MemberRecord[] {
    const { peers, failureDomain, random } = this.#options;
    const perDomain = new Map<FailureDomain, number>();
    return peers().filter(({ state }) => state === "serving")
      .map((peer) => ({ peer, order: random() }))
      .sort((left, right) => left.order - right.order)
      .map(({ peer }) => {
        const earlier = perDomain.get(peer.failureDomain) ?? 0;
        perDomain.set(peer.failureDomain, earlier + 1);
        const isOwn = peer.failureDomain === failureDomain;
        return { peer, order: earlier + (isOwn ? 1 : 0) };
      })
      .sort((left, right) => left.order - right.order)
      .slice(0, ASKED_PEERS)
      .map(({ peer }) => peer);
  }

  /**
   * Whether a server is down as far as this entry can tell: no load report of
   * it came by way of peers, and other servers are reached.
   */
  async #isDownAlone(server: ServerLoad, since: number): Promise<boolean> {
    const { servers, prober, clock } = this.#options;
    const reportedAt = server.lastReport?.atMilliseconds ?? -Infinity;
    if (reportedAt > since) return false;
    const now = clock();
    const others = [...servers.all()].map(({ load }) => load)
      .filter((load) => load !== server)
      .sort((left, right) =>
        left.reportAgeMilliseconds(now) - right.reportAgeMilliseconds(now)
      ).slice(0, COMPARED_SERVERS);
    const results = await Promise.all(others.map((load) => prober.check(load)));
    return results.includes("answered");
  }

  async #answer(
    asker: Address,
    asks: readonly string[],
    sign: CrashSign,
  ): Promise<void> {
    const { servers, prober, socket, self, unreached } = this.#options;
    const findings = await Promise.all(
      asks.slice(0, MAXIMUM_ASKS).map(async (server) => {
        const load = servers.find(server)?.load;
        const result = load && await prober.check(load);
        if (result === "answered") return [{ server, isReached: true }];
        return result !== undefined && showsDown(result, sign)
          ? [{ server, isReached: false }]
          : [];
      }),
    );
    socket.send([asker], {
      kind: "reach",
      from: self,
      unreached: unreached(),
      findings: findings.flat(),
    });
  }
}
