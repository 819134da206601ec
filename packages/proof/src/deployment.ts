/**
 * Starts small deployments for failure tests, sends calls to their entries
 * and reads the ledgers of their backend servers.
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

/** A shutdown that is shorter than the default, to keep the tests short. */
export const SHORT_SHUTDOWN_SETTINGS: SettingsOverride = {
  calls: { answerValidMilliseconds: 400 },
  shutdown: { graceMilliseconds: 500 },
};

const SERVICE = "desk";
const FAILURE_DOMAINS: readonly string[] = ["a", "b", "c", "d"];
const POLL_INTERVAL_MILLISECONDS = 25;
const DEFAULT_TIMEOUT_MILLISECONDS = 8_000;

export type CallAnswer = HttpAnswer & {
  readonly outcome: string;
  readonly reason: string;
};

export function failureDomainOf(index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length];
}

/**
 * Starts a deployment with one service and waits until each entry lists all
 * entries.
 */
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
  await waitUntil(() => isMembershipComplete(fleet.entries));
  return fleet;
}

async function isMembershipComplete(
  entries: readonly RunningEntry[],
): Promise<boolean> {
  for (const entry of entries) {
    const endpoints = await readEntryEndpoints(entry).catch(() => []);
    if (endpoints.length < entries.length) return false;
  }
  return true;
}

/** Polls until a condition holds and returns the time taken, or times out. */
export async function waitUntil(
  holds: () => Promise<boolean> | boolean,
  timeoutMilliseconds: number = DEFAULT_TIMEOUT_MILLISECONDS,
): Promise<number> {
  const startedAt = performance.now();
  for (;;) {
    if (await holds()) return performance.now() - startedAt;
    if (performance.now() - startedAt > timeoutMilliseconds) {
      throw new Error(
        `Condition not met within ${timeoutMilliseconds} ms: ${holds}`,
      );
    }
    await sleep(POLL_INTERVAL_MILLISECONDS);
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

/** Sends a protected call to an entry and reads its answer and outcome. */
export async function sendProtectedCall(
  entry: RunningEntry,
  options: ProtectedCallOptions,
): Promise<CallAnswer> {
  const deadline = options.deadlineMilliseconds ?? 2_000;
  const answer = await sendRequest(entry.callAddress, {
    method: "POST",
    path: options.path ?? `/${SERVICE}/book`,
    body: options.body ?? "boots",
    headers: {
      ...(options.key === undefined ? {} : { "Idempotency-Key": options.key }),
      "Marigoldford-Deadline-Milliseconds": String(deadline),
      ...options.headers,
    },
    timeoutMilliseconds: options.timeoutMilliseconds ?? 12_000,
  });
  return toCallAnswer(answer);
}

/** Sends an idempotent call to an entry. */
export async function sendIdempotentCall(
  entry: RunningEntry,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallAnswer> {
  return toCallAnswer(await sendRequest(entry.callAddress, { path, headers }));
}

function toCallAnswer(answer: HttpAnswer): CallAnswer {
  const outcome = String(answer.headers["marigoldford-outcome"] ?? "");
  const isProblem = answer.headers["content-type"]?.includes("problem");
  const type = isProblem ? JSON.parse(answer.body).type as string : "";
  return { ...answer, outcome, reason: type.split(":").pop() ?? "" };
}

/** Sums a counter over the ledgers of all backend servers that respond. */
export async function sumLedgerCounts(
  fleet: Fleet,
  counter: "arrivals" | "crashes" | "cancelled" | "refusals" | "healthPolls",
): Promise<number> {
  let sum = 0;
  for (const { address } of fleet.backends) {
    const ledger = await fleet.readLedger(address).catch(() => undefined);
    sum += ledger?.[counter] ?? 0;
  }
  return sum;
}
