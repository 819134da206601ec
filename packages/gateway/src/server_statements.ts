/**
 * What backend servers say of themselves in their answers, by run of a server,
 * and the exchange of these statements with peers.
 *
 * Statements outlive the server's record: a server that is discovered again
 * without a restart is still bound by what it said. An entry tells its peers of
 * a change at once; while a statement is in force, whichever entry hears it
 * repeats it unless another has just done so.
 */
import { limitRank, shareOfLimit } from "@marigoldford/kernel/limit_share";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { ServerRegistration } from "@marigoldford/kernel/routing_snapshot";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import {
  type RequestLimit,
  ServerRestrictions,
} from "@marigoldford/kernel/server_restrictions";
import type { Clock, RandomSource } from "@marigoldford/kernel/types";
import type { AnswerHead } from "./answer_head.ts";
import type { CallerProtocol } from "./caller_protocol.ts";
import type { DatagramSocket } from "./datagram_socket.ts";
import { peersInDomain, receiversInOtherDomains } from "./domain_relays.ts";
import type { MessageClock } from "./message_clock.ts";
import type { StatementSource, WriteEvent } from "./events.ts";
import type {
  FleetDatagram,
  SharedLeaving,
  SharedStatement,
} from "./fleet_messages.ts";
import type { GatewayMetrics } from "./metrics.ts";

export type ServerStatementsOptions = {
  readonly self: MemberRecord["incarnation"];
  readonly failureDomain: MemberRecord["failureDomain"];
  readonly clock: Clock;
  readonly messageClock: MessageClock;
  readonly random: RandomSource;
  /** Time within which a server that says it leaves must get no more requests. */
  readonly leavingEffectMilliseconds: number;
  readonly protocol: CallerProtocol;
  readonly socket: Pick<DatagramSocket, "send">;
  /** Peers that get statements. */
  readonly peers: () => readonly MemberRecord[];
  /** Entries that share the limits of servers, with this one. */
  readonly members: () => readonly MemberRecord[];
  readonly metrics: GatewayMetrics;
  readonly writeEvent: WriteEvent;
};

/** One run of a server: a restart is another one. */
export type ServerRun = Pick<ServerRegistration, "id" | "bornAtMilliseconds">;

/**
 * Answers to requests are complete or refuse the request. A health check says
 * nothing of a limit, and an answer to a peer asks no pause of this entry.
 */
export type StatementCarrier =
  | "answer"
  | "refusal"
  | "health-check"
  | "answer-to-peer";

type StatementsDatagram = Extract<FleetDatagram, { kind: "statements" }>;
type LimitRank = ReturnType<typeof limitRank>;

/** A run of a server that says nothing for this long is forgotten. */
const RETENTION_MILLISECONDS = 60_000;
/** Statements of peers about further runs are ignored. */
const MAXIMUM_RUNS = 5_000;
/** Changes within this time are told together. */
const BATCH_MILLISECONDS = 20;
/** A limit in force is repeated after this, as datagrams are lost. */
const REPEAT_MILLISECONDS = 2_000;
/**
 * That a server leaves is repeated after this, a fraction of the time within
 * which it must take effect.
 */
const LEAVING_REPEAT_MILLISECONDS = 500;
/** The rest of the time is left for requests in progress to end. */
const LEAVING_USE_SHARE = 0.5;
/** The end of a limit is repeated for this long. */
const END_REPEATED_MILLISECONDS = 6_000;
/** Statements of one datagram; they fit a typical packet. */
const MAXIMUM_STATEMENTS = 12;
/** Entries of another failure domain that get statements without a relay. */
const MAXIMUM_DIRECT_RECEIVERS = 8;
/** The fleet is looked at again after this to find an entry's share. */
const RANK_MILLISECONDS = 250;

class KnownRun {
  readonly run: ServerRun;
  readonly restrictions: ServerRestrictions;
  usedAtMilliseconds: number;
  /** When this entry or a peer told the fleet what the server says. */
  sharedAtMilliseconds = -Infinity;
  changedAtMilliseconds = -Infinity;

  constructor(run: ServerRun, restrictions: ServerRestrictions, now: number) {
    this.run = { id: run.id, bornAtMilliseconds: run.bornAtMilliseconds };
    this.restrictions = restrictions;
    this.usedAtMilliseconds = now;
  }

  /** Whether a statement that was just heard is to be told again. */
  isRepeatDue(now: number): boolean {
    const elapsed = now - this.sharedAtMilliseconds;
    const { isLeaving } = this.restrictions;
    if (isLeaving && elapsed >= LEAVING_REPEAT_MILLISECONDS) return true;
    if (elapsed < REPEAT_MILLISECONDS) return false;
    return this.restrictions.requestLimit !== "none" ||
      now - this.changedAtMilliseconds < END_REPEATED_MILLISECONDS;
  }
}

function keyOf({ id, bornAtMilliseconds }: ServerRun): string {
  return `${id} ${bornAtMilliseconds}`;
}

export class ServerStatements {
  readonly #options: ServerStatementsOptions;
  readonly #runs = new Map<string, KnownRun>();
  readonly #unshared = new Set<KnownRun>();
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: ServerStatementsOptions) {
    this.#options = options;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** The restrictions of a run of a server, which later statements change. */
  restrictionsOf(run: ServerRun): ServerRestrictions {
    return this.#find(run).restrictions;
  }

  /**
   * Records what the head of an answer says of the run of a server that sent
   * it. A refusal, which may come from a stage before the server's own, ends no
   * limit.
   */
  recordAnswer(
    run: ServerRun,
    head: AnswerHead,
    carrier: StatementCarrier,
  ): void {
    const { protocol, clock, metrics, writeEvent } = this.#options;
    const { statement, malformed } = protocol.readStatement(head);
    for (const detail of malformed) {
      metrics.incrementCounter("server_statements_refused");
      writeEvent({
        event: "server-statement-refused",
        server: run.id,
        detail,
      });
    }
    const { requestLimit, isLeaving, pauseMilliseconds } = statement;
    const saysLimit = carrier === "answer" || carrier === "answer-to-peer" ||
      carrier === "refusal" && requestLimit !== "none";
    const asksPause = pauseMilliseconds > 0 && carrier !== "answer-to-peer";
    if (!saysLimit && !isLeaving && !asksPause) return;
    const now = clock();
    const known = this.#find(run);
    if (asksPause) this.#recordPause(known, pauseMilliseconds);
    let isChange = false;
    if (saysLimit && known.restrictions.recordStatement(statement, now)) {
      this.#onLimitChange(known, "server");
      isChange = true;
    }
    if (isLeaving && known.restrictions.recordLeaving(now)) {
      const from = carrier === "health-check" ? carrier : "answer";
      this.#onLeaving(known, from, 0);
      isChange = true;
    }
    if (isChange || known.isRepeatDue(now)) this.#share(known);
  }

  /**
   * Records an answer to a health check, which also says whether the server is
   * cold. Peers learn that from its registration.
   */
  recordHealthCheck(server: ServerLoad, head: AnswerHead): void {
    const { clock, protocol, writeEvent } = this.#options;
    this.recordAnswer(server.registration, head, "health-check");
    const { warmUpMilliseconds } = protocol.readStatement(head).statement;
    if (warmUpMilliseconds === "unreadable") return;
    const now = clock();
    const wasCold = server.isCold(now);
    server.recordHealthCheck(now, warmUpMilliseconds);
    if (wasCold || !server.isCold(now)) return;
    writeEvent({
      event: "server-cold",
      server: server.registration.id,
      milliseconds: warmUpMilliseconds ?? 0,
    });
  }

  /** Entries are asked for pauses one by one, so peers are not told. */
  #recordPause({ run, restrictions }: KnownRun, milliseconds: number): void {
    const { clock, metrics, writeEvent } = this.#options;
    if (!restrictions.recordPause(milliseconds, clock())) return;
    metrics.incrementCounter("server_pauses");
    writeEvent({ event: "server-pause", server: run.id, milliseconds });
  }

  /** Records what a peer tells of servers. */
  receive(datagram: StatementsDatagram): void {
    const { clock, messageClock, socket, peers, failureDomain } = this.#options;
    const now = clock();
    const waited = messageClock.waitedMilliseconds(datagram.departure);
    // Builds before do not say when they sent it.
    const waitedMilliseconds = Number.isFinite(waited) ? waited : 0;
    const onArrival = <Shared extends { readonly ageMilliseconds: number }>(
      shared: Shared,
    ): Shared => ({
      ...shared,
      ageMilliseconds: shared.ageMilliseconds + waitedMilliseconds,
    });
    const statements = validStatements(datagram.statements).map(onArrival);
    const leaving = validLeaving(datagram.leaving).map(onArrival);
    for (const shared of statements) {
      const known = this.#findShared(shared);
      const isChange = known?.restrictions.recordStatement(
        shared,
        now - shared.ageMilliseconds,
      );
      if (known && isChange) this.#onLimitChange(known, "peer");
    }
    for (const shared of leaving) {
      const { ageMilliseconds } = shared;
      const known = this.#findShared(shared);
      const isNew = known?.restrictions.recordLeaving(now - ageMilliseconds);
      if (known && isNew) this.#onLeaving(known, "peer", ageMilliseconds);
    }
    if (!datagram.isForDomain) return;
    const receivers = peersInDomain(peers(), failureDomain);
    socket.send(
      receivers.filter(({ incarnation }) => incarnation !== datagram.from)
        .map(({ datagramAddress }) => datagramAddress),
      {
        ...datagram,
        statements,
        leaving,
        departure: messageClock.departure(),
        isForDomain: false,
      },
    );
  }

  /** Forgets runs of servers that are not `used` any more. */
  expire(used: ReadonlySet<ServerRestrictions>): void {
    const now = this.#options.clock();
    for (const [key, run] of this.#runs) {
      if (used.has(run.restrictions)) run.usedAtMilliseconds = now;
      else if (now - run.usedAtMilliseconds > RETENTION_MILLISECONDS) {
        this.#runs.delete(key);
      }
    }
  }

  /** The run that a peer tells of, unless too many are known already. */
  #findShared(shared: ServerRun): KnownRun | undefined {
    if (this.#runs.size >= MAXIMUM_RUNS && !this.#runs.has(keyOf(shared))) {
      return undefined;
    }
    const known = this.#find(shared);
    known.sharedAtMilliseconds = this.#options.clock();
    return known;
  }

  #find(run: ServerRun): KnownRun {
    const key = keyOf(run);
    const now = this.#options.clock();
    let known = this.#runs.get(key);
    if (known === undefined) {
      const restrictions = new ServerRestrictions(
        this.#makeOwnShare(run.id),
        this.#options.random(),
        this.#options.leavingEffectMilliseconds * LEAVING_USE_SHARE,
      );
      known = new KnownRun(run, restrictions, now);
      this.#runs.set(key, known);
    }
    known.usedAtMilliseconds = now;
    return known;
  }

  #makeOwnShare(server: string): (requestsPerSecond: number) => number {
    const { clock, self, members } = this.#options;
    let rank: LimitRank | undefined;
    let rankedAt = -Infinity;
    return (requestsPerSecond) => {
      const now = clock();
      if (rank === undefined || now - rankedAt > RANK_MILLISECONDS) {
        const names = members().map(({ incarnation }) => incarnation);
        rank = limitRank(server, self, names);
        rankedAt = now;
      }
      return shareOfLimit(requestsPerSecond, rank);
    };
  }

  #onLimitChange(known: KnownRun, from: "server" | "peer"): void {
    known.changedAtMilliseconds = this.#options.clock();
    this.#options.writeEvent({
      event: "request-limit",
      server: known.run.id,
      requestLimit: known.restrictions.requestLimit,
      from,
    });
  }

  #onLeaving(
    { run: { id } }: KnownRun,
    from: StatementSource,
    ageMilliseconds: number,
  ): void {
    this.#options.writeEvent({
      event: "server-leaving",
      server: id,
      from,
      ageMilliseconds: Math.round(ageMilliseconds),
    });
  }

  /** Tells the fleet with the next batch. */
  #share(known: KnownRun): void {
    known.sharedAtMilliseconds = this.#options.clock();
    this.#unshared.add(known);
    this.#timer ??= setTimeout(() => this.#sendBatch(), BATCH_MILLISECONDS);
  }

  #sendBatch(): void {
    this.#timer = undefined;
    const { self, failureDomain, socket, peers, clock, messageClock } =
      this.#options;
    const now = clock();
    const all = [...this.#unshared];
    this.#unshared.clear();
    const livePeers = peers();
    const others = receiversInOtherDomains(
      { incarnation: self, failureDomain },
      livePeers,
      MAXIMUM_DIRECT_RECEIVERS,
    );
    const direct = [
      ...peersInDomain(livePeers, failureDomain),
      ...others.direct,
    ];
    for (let at = 0; at < all.length; at += MAXIMUM_STATEMENTS) {
      const datagram = {
        kind: "statements",
        from: self,
        departure: messageClock.departure(),
        ...sharedOf(all.slice(at, at + MAXIMUM_STATEMENTS), now),
      } as const;
      for (
        const { to, isForDomain } of [
          { to: direct, isForDomain: false },
          { to: others.relays, isForDomain: true },
        ]
      ) {
        socket.send(to.map(({ datagramAddress }) => datagramAddress), {
          ...datagram,
          isForDomain,
        });
      }
    }
  }
}

function sharedOf(
  known: readonly KnownRun[],
  now: number,
): Pick<StatementsDatagram, "statements" | "leaving"> {
  const statements: SharedStatement[] = [];
  const leaving: SharedLeaving[] = [];
  for (const { run, restrictions } of known) {
    const { requestLimit, limitSaidAtMilliseconds, isLeaving } = restrictions;
    if (limitSaidAtMilliseconds !== -Infinity) {
      const ageMilliseconds = now - limitSaidAtMilliseconds;
      statements.push({ ...run, requestLimit, ageMilliseconds });
    }
    if (!isLeaving) continue;
    const ageMilliseconds = now - restrictions.leavingSinceMilliseconds;
    leaving.push({ ...run, ageMilliseconds });
  }
  return { statements, leaving };
}

/** Leaves out statements that this build of an entry cannot have sent. */
function validStatements(statements: unknown): SharedStatement[] {
  if (!Array.isArray(statements)) return [];
  return statements.filter((statement) =>
    isOfRun(statement) && isRequestLimit(statement.requestLimit)
  );
}

function validLeaving(leaving: unknown): SharedLeaving[] {
  return Array.isArray(leaving) ? leaving.filter(isOfRun) : [];
}

/** Whether it names a run of a server, and for how long something holds. */
function isOfRun(shared: Partial<SharedStatement> | null): boolean {
  return typeof shared === "object" && shared !== null &&
    typeof shared.id === "string" &&
    Number.isFinite(shared.bornAtMilliseconds) &&
    Number.isFinite(shared.ageMilliseconds) &&
    Number(shared.ageMilliseconds) >= 0;
}

function isRequestLimit(value: unknown): value is RequestLimit {
  return value === "none" ||
    typeof value === "number" && Number.isFinite(value) && value >= 0;
}
