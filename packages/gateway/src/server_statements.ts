/**
 * What backend servers say of themselves in their answers, by run of a server,
 * and the exchange of these statements with peers.
 *
 * Statements outlive the server's record: a server that is discovered again
 * without a restart is still bound by what it said. An entry tells its peers of
 * a change at once; while a limit is in force, whichever entry hears it repeats
 * it unless another has just done so.
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
import type { AnswerHeaders } from "./answer_head.ts";
import type { CallerProtocol } from "./caller_protocol.ts";
import type { DatagramSocket } from "./datagram_socket.ts";
import { peersInDomain, receiversInOtherDomains } from "./domain_relays.ts";
import type { MessageClock } from "./message_clock.ts";
import type { WriteEvent } from "./events.ts";
import type { FleetDatagram, SharedStatement } from "./fleet_messages.ts";
import type { GatewayMetrics } from "./metrics.ts";

export type ServerStatementsOptions = {
  readonly self: MemberRecord["incarnation"];
  readonly failureDomain: MemberRecord["failureDomain"];
  readonly clock: Clock;
  readonly messageClock: MessageClock;
  readonly random: RandomSource;
  readonly protocol: CallerProtocol;
  readonly socket: Pick<DatagramSocket, "send">;
  /** Peers that get statements. */
  readonly peers: () => readonly MemberRecord[];
  /** Entries that share the limits of servers, with this one. */
  readonly members: () => readonly MemberRecord[];
  readonly metrics: GatewayMetrics;
  readonly writeEvent: WriteEvent;
};

type Run = Pick<ServerRegistration, "id" | "bornAtMilliseconds">;
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
/** The end of a limit is repeated for this long. */
const END_REPEATED_MILLISECONDS = 6_000;
/** Statements of one datagram; they fit a typical packet. */
const MAXIMUM_STATEMENTS = 12;
/** Entries of another failure domain that get statements without a relay. */
const MAXIMUM_DIRECT_RECEIVERS = 8;
/** The fleet is looked at again after this to find an entry's share. */
const RANK_MILLISECONDS = 250;

class KnownRun {
  readonly run: Run;
  readonly restrictions: ServerRestrictions;
  usedAtMilliseconds: number;
  /** When this entry or a peer told the fleet what the server says. */
  sharedAtMilliseconds = -Infinity;
  changedAtMilliseconds = -Infinity;

  constructor(run: Run, restrictions: ServerRestrictions, now: number) {
    this.run = { id: run.id, bornAtMilliseconds: run.bornAtMilliseconds };
    this.restrictions = restrictions;
    this.usedAtMilliseconds = now;
  }

  /** Whether a statement that was just heard is to be told again. */
  isRepeatDue(now: number): boolean {
    if (now - this.sharedAtMilliseconds < REPEAT_MILLISECONDS) return false;
    return this.restrictions.requestLimit !== "none" ||
      now - this.changedAtMilliseconds < END_REPEATED_MILLISECONDS;
  }
}

function keyOf({ id, bornAtMilliseconds }: Run): string {
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
  restrictionsOf(run: Run): ServerRestrictions {
    return this.#find(run).restrictions;
  }

  /**
   * Records what the headers of a server's answer say of it. A refusal, which
   * may come from a stage before the server's own, ends no limit.
   */
  recordAnswer(
    { registration }: ServerLoad,
    headers: AnswerHeaders,
    kind: "answer" | "refusal",
  ): void {
    const { protocol, clock, metrics, writeEvent } = this.#options;
    const { statement, malformed } = protocol.readStatement(headers);
    for (const detail of malformed) {
      metrics.incrementCounter("server_statements_refused");
      writeEvent({
        event: "server-statement-refused",
        server: registration.id,
        detail,
      });
    }
    if (kind === "refusal" && statement.requestLimit === "none") return;
    const now = clock();
    const known = this.#find(registration);
    if (known.restrictions.recordStatement(statement, now)) {
      this.#onChange(known, "server");
      this.#share(known);
    } else if (known.isRepeatDue(now)) this.#share(known);
  }

  /** Records what a peer tells of servers. */
  receive(datagram: StatementsDatagram): void {
    const { clock, messageClock, socket, peers, failureDomain } = this.#options;
    const now = clock();
    const waited = messageClock.waitedMilliseconds(datagram.departure);
    // Builds before do not say when they sent it.
    const waitedMilliseconds = Number.isFinite(waited) ? waited : 0;
    const statements = validStatements(datagram.statements).map((shared) => ({
      ...shared,
      ageMilliseconds: shared.ageMilliseconds + waitedMilliseconds,
    }));
    for (const shared of statements) {
      if (this.#runs.size >= MAXIMUM_RUNS && !this.#runs.has(keyOf(shared))) {
        continue;
      }
      const known = this.#find(shared);
      known.sharedAtMilliseconds = now;
      const isChange = known.restrictions.recordStatement(
        shared,
        now - shared.ageMilliseconds,
      );
      if (isChange) this.#onChange(known, "peer");
    }
    if (!datagram.isForDomain) return;
    const receivers = peersInDomain(peers(), failureDomain);
    socket.send(
      receivers.filter(({ incarnation }) => incarnation !== datagram.from)
        .map(({ datagramAddress }) => datagramAddress),
      {
        ...datagram,
        statements,
        departure: messageClock.departure(),
        isForDomain: false,
      },
    );
  }

  /** Forgets runs of servers that are not `used` any more. */
  expire(used: (run: ServerRestrictions) => boolean): void {
    const now = this.#options.clock();
    for (const [key, run] of this.#runs) {
      if (used(run.restrictions)) run.usedAtMilliseconds = now;
      else if (now - run.usedAtMilliseconds > RETENTION_MILLISECONDS) {
        this.#runs.delete(key);
      }
    }
  }

  #find(run: Run): KnownRun {
    const key = keyOf(run);
    const now = this.#options.clock();
    let known = this.#runs.get(key);
    if (known === undefined) {
      const restrictions = new ServerRestrictions(
        this.#makeOwnShare(run.id),
        this.#options.random(),
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

  #onChange(known: KnownRun, from: "server" | "peer"): void {
    known.changedAtMilliseconds = this.#options.clock();
    this.#options.writeEvent({
      event: "request-limit",
      server: known.run.id,
      requestLimit: known.restrictions.requestLimit,
      from,
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
    const all = [...this.#unshared].map(({ run, restrictions }) => ({
      ...run,
      requestLimit: restrictions.requestLimit,
      ageMilliseconds: now - restrictions.limitSaidAtMilliseconds,
    }));
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
        statements: all.slice(at, at + MAXIMUM_STATEMENTS),
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

/** Leaves out statements that this build of an entry cannot have sent. */
function validStatements(statements: unknown): SharedStatement[] {
  if (!Array.isArray(statements)) return [];
  return statements.filter((statement: Partial<SharedStatement> | null) =>
    typeof statement === "object" && statement !== null &&
    typeof statement.id === "string" &&
    Number.isFinite(statement.bornAtMilliseconds) &&
    isRequestLimit(statement.requestLimit) &&
    Number.isFinite(statement.ageMilliseconds) &&
    Number(statement.ageMilliseconds) >= 0
  );
}

function isRequestLimit(value: unknown): value is RequestLimit {
  return value === "none" ||
    typeof value === "number" && Number.isFinite(value) && value >= 0;
}
