/**
 * Embeds the kernel without the entry daemon: reads a sheet, routes a call,
 * places it on a backend server, and keeps a protected call from running twice.
 */
import { agedReportsPolicy } from "@marigoldford/kernel/aged_reports_policy";
import {
  mintKey,
  parseIdempotencyKey,
} from "@marigoldford/kernel/idempotency_key";
import { ProtectedCallTable } from "@marigoldford/kernel/protected_call_table";
import { RoutingTable } from "@marigoldford/kernel/routing_table";
import { ServicePool } from "@marigoldford/kernel/service_pool";
import { readSheet } from "@marigoldford/kernel/sheet";

const SHEET =
  `intention,revision,kind,service,path_prefix,address,failure_domain,slots,connections
rule,1,service-rule,desk,/desk,,,,
first,1,backend-server,desk,,127.0.0.1:8001,a,2,250
second,1,backend-server,desk,,127.0.0.1:8002,b,2,250
`;

/** The decisions of the example, which its test checks. */
export type EmbeddedResult = {
  readonly service: string;
  readonly servers: readonly string[];
  readonly decisions: readonly string[];
};

const clock = () => performance.now();

/** Routes a call, places it twice, and begins a protected call twice. */
export function runEmbeddedKernel(): EmbeddedResult {
  const sheet = readSheet(SHEET, { valueName: "example", platformVersion: 1 });
  if (sheet.isErr()) throw new Error("The example's sheet is malformed");
  const routingTable = new RoutingTable(sheet.value.rows);
  const routed = routingTable.route({
    host: "",
    method: "GET",
    path: "/desk/7",
  });
  if (routed === undefined) throw new Error("No service rule matches");
  const pool = new ServicePool({
    intentions: routed.service,
    clock,
    policy: agedReportsPolicy({ clock, random: Math.random }),
    defaults: {
      inFlightPerSlot: 2,
      queueLength: 10,
      deadlineMilliseconds: 1_000,
      retryShare: 0.05,
      hedgeShare: 0,
      entriesCeiling: 1,
    },
    isLeaving: () => false,
  });
  return {
    service: routed.service.service,
    servers: [place(pool), place(pool)],
    decisions: beginProtectedCallTwice(),
  };
}

function place(pool: ServicePool): string {
  const decision = pool.place({
    deadlineAtMilliseconds: clock() + 1_000,
    tried: new Set(),
    isSuspect: false,
  });
  if (decision.kind !== "placed") return decision.kind;
  const { server } = decision.choice;
  server.recordStart(clock());
  return server.address;
}

function beginProtectedCallTwice(): string[] {
  const protectedCalls = new ProtectedCallTable({
    incarnation: "0".repeat(32),
    clock,
    keyLifetimeMilliseconds: 60_000,
    maximumKeys: 100,
    maximumBytes: 1_000_000,
    maximumAnswerBytes: 1_000,
  });
  const key = parseIdempotencyKey(
    mintKey(protectedCalls.keyPrefix(), "booking-7"),
  );
  if (key.isErr()) return [key.error.kind];
  return [1, 2].map(() =>
    protectedCalls.begin(key.value, "content").match(
      (decision) => decision.kind,
      (failure) => failure.kind,
    )
  );
}
