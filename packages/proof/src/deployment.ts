/**
 * Small deployments for failure tests, and what the tests ask of them.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { BackendBehaviour } from "@marigoldford/stand_ins/backend_behaviour";
import {
  Fleet,
  type RunningEntry,
  type SettingsOverride,
} from "@marigoldford/stand_ins/fleet";
import { readEntryEndpoints } from "@marigoldford/stand_ins/entry_requests";
import {
  type HttpAnswer,
  sendRequest,
} from "@marigoldford/stand_ins/http_requests";
import {
  deploymentRows,
  formatSheet,
  type SheetRowValues,
} from "@marigoldford/stand_ins/sheet_format";

export type DeploymentOptions = {
  readonly entries: number;
  readonly backends: number;
  readonly behaviour?: Partial<BackendBehaviour>;
  readonly settings?: SettingsOverride;
  readonly extraRows?: readonly SheetRowValues[];
  readonly backendsPerProcess?: number;
};

/** Short times, so that a test need not wait for a real deployment's. */
export const SHORT_SHUTDOWN_SETTINGS: SettingsOverride = {
  calls: { answerValidMilliseconds: 400 },
  shutdown: { graceMilliseconds: 500 },
};

const SERVICE = "desk";
const FAILURE_DOMAINS: readonly string[] = ["a", "b", "c", "d"];
const POLL_MILLISECONDS = 25;
const SETTLE_MILLISECONDS = 8_000;

export type CallAnswer = HttpAnswer & {
  readonly outcome: string;
  readonly reason: string;
};

export function failureDomainOf(index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length];
}

/** Starts a deployment with one service and waits until its entries agree. */
export async function deploy(options: DeploymentOptions): Promise<Fleet> {
  const fleet = new Fleet();
  await fleet.startPlatform();
  const specifications = Array.from(
    { length: options.backends },
    (_, index) => ({
      service: SERVICE,
      failureDomain: failureDomainOf(index),
      behaviour: { serviceMilliseconds: 5, ...options.behaviour },
    }),
  );
  await fleet.startBackends(specifications, options.backendsPerProcess);
  await fleet.publish(formatSheet([
    ...deploymentRows(fleet.backends),
    ...options.extraRows ?? [],
  ]));
  for (let index = 0; index < options.entries; index++) {
    await fleet.startEntry(failureDomainOf(index), options.settings);
  }
  await waitUntil(() => knowEachOther(fleet.entries));
  return fleet;
}

async function knowEachOther(
  entries: readonly RunningEntry[],
): Promise<boolean> {
  for (const entry of entries) {
    const known = await readEntryEndpoints(entry).catch(() => []);
    if (known.length < entries.length) return false;
  }
  return true;
}

/** Polls until a condition holds; fails after the bound. */
export async function waitUntil(
  holds: () => Promise<boolean> | boolean,
  boundMilliseconds: number = SETTLE_MILLISECONDS,
): Promise<number> {
  const startedAt = performance.now();
  for (;;) {
    if (await holds()) return performance.now() - startedAt;
    if (performance.now() - startedAt > boundMilliseconds) {
      throw new Error(`Not true within ${boundMilliseconds} ms: ${holds}`);
    }
    await sleep(POLL_MILLISECONDS);
  }
}

export type ProtectedCallOptions = {
  readonly key?: string;
  readonly path?: string;
  readonly body?: string;
  readonly deadlineMilliseconds?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds?: number;
};

/** Sends a protected call to one entry and reads its outcome. */
export async function sendProtectedCall(
  entry: RunningEntry,
  send: ProtectedCallOptions,
): Promise<CallAnswer> {
  const deadline = send.deadlineMilliseconds ?? 2_000;
  const answer = await sendRequest(entry.callAddress, {
    method: "POST",
    path: send.path ?? `/${SERVICE}/book`,
    body: send.body ?? "boots",
    headers: {
      ...(send.key === undefined ? {} : { "Idempotency-Key": send.key }),
      "Marigoldford-Deadline-Milliseconds": String(deadline),
      ...send.headers,
    },
    timeoutMilliseconds: send.timeoutMilliseconds ?? 12_000,
  });
  return withOutcome(answer);
}

/** Sends a repeatable call to one entry. */
export async function sendIdempotentCall(
  entry: RunningEntry,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallAnswer> {
  return withOutcome(await sendRequest(entry.callAddress, { path, headers }));
}

function withOutcome(answer: HttpAnswer): CallAnswer {
  const outcome = String(answer.headers["marigoldford-outcome"] ?? "");
  const isProblem = answer.headers["content-type"]?.includes("problem");
  const type = isProblem ? JSON.parse(answer.body).type as string : "";
  return { ...answer, outcome, reason: type.split(":").pop() ?? "" };
}

/** Sum of a count over the ledgers of all backend servers that answer. */
export async function sumLedgerCounts(
  fleet: Fleet,
  count: "arrivals" | "crashes" | "cancelled" | "refusals" | "healthPolls",
): Promise<number> {
  let sum = 0;
  for (const { address } of fleet.backends) {
    const ledger = await fleet.readLedger(address).catch(() => undefined);
    sum += ledger?.[count] ?? 0;
  }
  return sum;
}
