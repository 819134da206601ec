/**
 * What backend servers say of themselves in their answers, by run of a server.
 *
 * Statements outlive the server's record: a server that is discovered again
 * without a restart is still bound by what it said.
 */
import type { ServerRegistration } from "@marigoldford/kernel/routing_snapshot";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import { ServerRestrictions } from "@marigoldford/kernel/server_restrictions";
import type { Clock } from "@marigoldford/kernel/types";
import type { AnswerHeaders } from "./answer_head.ts";
import type { CallerProtocol } from "./caller_protocol.ts";
import type { WriteEvent } from "./events.ts";
import type { GatewayMetrics } from "./metrics.ts";

export type ServerStatementsOptions = {
  readonly clock: Clock;
  readonly protocol: CallerProtocol;
  readonly metrics: GatewayMetrics;
  readonly writeEvent: WriteEvent;
};

type Run = Pick<ServerRegistration, "id" | "bornAtMilliseconds">;

/** A server that says nothing for this long is forgotten. */
const RETENTION_MILLISECONDS = 60_000;

type KnownRun = {
  readonly restrictions: ServerRestrictions;
  usedAtMilliseconds: number;
};

function keyOf({ id, bornAtMilliseconds }: Run): string {
  return `${id} ${bornAtMilliseconds}`;
}

export class ServerStatements {
  readonly #options: ServerStatementsOptions;
  readonly #runs = new Map<string, KnownRun>();

  constructor(options: ServerStatementsOptions) {
    this.#options = options;
  }

  /** The restrictions of a run of a server, which later statements change. */
  restrictionsOf(run: Run): ServerRestrictions {
    const key = keyOf(run);
    const usedAtMilliseconds = this.#options.clock();
    const known = this.#runs.get(key);
    if (known !== undefined) {
      known.usedAtMilliseconds = usedAtMilliseconds;
      return known.restrictions;
    }
    const restrictions = new ServerRestrictions();
    this.#runs.set(key, { restrictions, usedAtMilliseconds });
    return restrictions;
  }

  /** Records what the headers of a server's answer say of it. */
  recordAnswer({ registration }: ServerLoad, headers: AnswerHeaders): void {
    const { protocol, clock, metrics, writeEvent } = this.#options;
    const { statement, malformed } = protocol.readStatement(headers);
    const { id: server, service } = registration;
    for (const detail of malformed) {
      metrics.incrementCounter("server_statements_refused");
      writeEvent({ event: "server-statement-refused", server, detail });
    }
    const restrictions = this.restrictionsOf(registration);
    if (!restrictions.recordStatement(statement, clock())) return;
    const { requestLimit } = restrictions;
    writeEvent({ event: "request-limit", server, service, requestLimit });
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
}
