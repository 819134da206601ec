/**
 * Runs one cell of the benchmark: one policy in one scene with one seed. Each
 * cell starts its own platform, backend servers and entries.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet, type SettingsOverride } from "@marigoldford/stand_ins/fleet";
import { readCounter } from "@marigoldford/stand_ins/entry_requests";
import { sendRequest } from "@marigoldford/stand_ins/http_requests";
import {
  deploymentRows,
  formatSheet,
} from "@marigoldford/stand_ins/sheet_format";
import { LoadGenerator, type LoadResult } from "./load_generator.ts";
import { type Scene, type SceneName, SCENES } from "./scenes.ts";
import { type User, USER_SIZES, type UserSize } from "./scenes.ts";

export const CONTENDERS = [
  "oracle",
  "ours",
  "ours-without-hedges",
  "two-choices",
  "least-in-flight",
  "round-robin",
  "random",
] as const;
export type Contender = typeof CONTENDERS[number];

export type CellOptions = {
  readonly user: User;
  readonly scene: SceneName;
  readonly contender: Contender;
  readonly seed: number;
  readonly seconds: number;
};

export type CellResult = CellOptions & LoadResult & {
  readonly sentToCalled: number;
  readonly retries: number;
  readonly hedges: number;
  readonly healthPolls: number;
  /** Share of slot time spent on health polls, at 1 ms per poll. */
  readonly pollSlotShare: number;
};

const WARM_UP_SECONDS = 4;
const DEADLINE_MILLISECONDS = 10_000;
const POLL_COST_MILLISECONDS = 1;
const MILLISECONDS_PER_SECOND = 1_000;
const FAILURE_DOMAIN_COUNT = 4;
const UNBOUNDED = 1_000_000;

/**
 * The oracle is one entry that handles all calls. Only `ours` earns hedges; the
 * other policies have the single hedge with which each entry's budget starts.
 */
function entrySettings(contender: Contender): SettingsOverride {
  const isOurs = contender === "ours" || contender === "ours-without-hedges";
  const policy = isOurs
    ? "aged-reports"
    : contender === "oracle"
    ? "least-in-flight"
    : contender;
  const calls: Record<string, unknown> = { queueLength: 10_000 };
  if (contender !== "ours") calls.hedgeShare = 0;
  if (contender === "oracle") {
    calls.inFlightPerSlot = UNBOUNDED;
    calls.entriesCeiling = 1;
  }
  return { choosing: { policy }, calls };
}

/** Starts the processes, sends the load and stops the processes. */
export async function runCell(options: CellOptions): Promise<CellResult> {
  const size = USER_SIZES[options.user];
  const scene = SCENES[options.scene];
  const fleet = new Fleet();
  try {
    await startFleet(fleet, { ...options, size });
    const load = new LoadGenerator({
      addresses: fleet.entries.map(({ callAddress }) => callAddress),
      path: `/${size.service}`,
      callsPerSecond: offeredCallsPerSecond(size, scene),
      seconds: options.seconds,
      warmUpSeconds: WARM_UP_SECONDS,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      seed: options.seed,
    });
    const change = applySceneChange(fleet, { scene, size });
    const result = await load.run();
    await change;
    return { ...options, ...result, ...await readOverheads(fleet, size) };
  } finally {
    await fleet.stop();
  }
}

function offeredCallsPerSecond(size: UserSize, scene: Scene): number {
  const slots = size.backends * size.slots;
  const fullRate = slots * MILLISECONDS_PER_SECOND / size.serviceMilliseconds;
  return fullRate * scene.load * scene.capacity(size.backends);
}

async function startFleet(
  fleet: Fleet,
  options: CellOptions & { readonly size: UserSize },
): Promise<void> {
  const { size, contender } = options;
  const scene = SCENES[options.scene];
  const perDomain = Math.ceil(size.backends / FAILURE_DOMAIN_COUNT);
  await fleet.startPlatform();
  await fleet.startBackends(
    Array.from({ length: size.backends }, (_, index) => ({
      service: size.service,
      failureDomain: `domain-${Math.floor(index / perDomain)}`,
      connections: contender === "oracle" ? UNBOUNDED : size.connections,
      behaviour: {
        slots: size.slots,
        queueLength: UNBOUNDED,
        serviceMilliseconds: size.serviceMilliseconds,
        distribution: "exponential",
        ...scene.behaviour(index, size.backends),
      },
    })),
    perDomain,
  );
  await fleet.publish(formatSheet(deploymentRows(fleet.backends)));
  const entries = contender === "oracle" ? 1 : size.entries;
  const starting = Array.from(
    { length: entries },
    (_, index) =>
      fleet.startEntry(
        `domain-${index % FAILURE_DOMAIN_COUNT}`,
        entrySettings(contender),
      ),
  );
  await Promise.all(starting);
}

async function applySceneChange(
  fleet: Fleet,
  context: { readonly scene: Scene; readonly size: UserSize },
): Promise<void> {
  const { change } = context.scene;
  if (change === undefined) return;
  await sleep(WARM_UP_SECONDS * MILLISECONDS_PER_SECOND);
  const { backends } = context.size;
  const affected = fleet.backends.filter((_, index) =>
    change.isAffected(index, backends)
  );
  if (change.effect === "kill") {
    for (const child of new Set(affected.map(({ child }) => child))) {
      await child.kill();
    }
    return;
  }
  for (const { address } of affected) {
    await fleet.setBehaviour(address, change.effect);
  }
  if (change.undoAfterMilliseconds === undefined) return;
  await sleep(change.undoAfterMilliseconds);
  for (const { address } of affected) {
    await fleet.setBehaviour(address, { slowdown: 1 });
  }
}

async function readOverheads(fleet: Fleet, size: UserSize) {
  const totals = { calls: 0, attempts: 0, retries: 0, hedges: 0, polls: 0 };
  for (const { callAddress } of fleet.entries) {
    const { body } = await sendRequest(callAddress, {
      path: "/marigoldford/metrics",
    });
    totals.calls += readCounter(body, "calls");
    totals.attempts += readCounter(body, "attempts");
    totals.retries += readCounter(body, "retries");
    totals.hedges += readCounter(body, "hedges");
    totals.polls += readCounter(body, "health_polls");
  }
  const calls = Math.max(1, totals.calls);
  const slots = size.backends * size.slots;
  // Each cell has its own process, which started at time 0.
  const seconds = performance.now() / MILLISECONDS_PER_SECOND;
  return {
    sentToCalled: totals.attempts / calls,
    retries: totals.retries / calls,
    hedges: totals.hedges / calls,
    healthPolls: totals.polls / calls,
    pollSlotShare: totals.polls * POLL_COST_MILLISECONDS /
      (slots * seconds * MILLISECONDS_PER_SECOND),
  };
}
