/**
 * The default policy: scores every candidate by its estimated calls in flight
 * per slot. Load reports lose weight exponentially as they age.
 *
 * The calls of other entries at a backend server are its last reported number
 * of calls in flight minus this entry's own at that moment. With the age of the
 * report this estimate decays towards the mean over the candidates, because an
 * old report says little about one backend server but something about the
 * service. Own calls in flight are exact and are added without decay. The score
 * is the estimate after this call, per slot, times the slowdown of a straggler,
 * divided by the warm-up factor.
 */
import type { BackendServerState } from "./backend_server_state.ts";
import {
  type Choice,
  CHOOSING_POLICIES,
  type ChoosingContext,
  type ChoosingPolicy,
  pickLowestScore,
} from "./choosing_policy.ts";
import { medianLatencyMilliseconds, slowdownOf } from "./straggler.ts";

/** Lower bound of the decay time, for services with very short latencies. */
const MINIMUM_DECAY_MILLISECONDS = 5;
const DEFAULT_DECAY_MILLISECONDS = 20;
const WARM_UP_MILLISECONDS = 2_000;
const INITIAL_WARM_UP_FACTOR = 0.25;

function othersInFlight(server: BackendServerState): number | undefined {
  const report = server.report;
  if (report === undefined) return undefined;
  return Math.max(0, report.inFlight - report.ownInFlight);
}

type EstimateInputs = {
  readonly now: number;
  readonly decayMilliseconds: number;
  readonly meanOthersForSlot: number;
};

function reportWeight(
  server: BackendServerState,
  inputs: EstimateInputs,
): number {
  if (server.report === undefined) return 0;
  const age = inputs.now - server.report.receivedAtMilliseconds;
  return Math.exp(-age / inputs.decayMilliseconds);
}

/** Adds the mean of other entries' calls per slot, weighted by report age. */
function estimateInputs(
  candidates: readonly BackendServerState[],
  base: Omit<EstimateInputs, "meanOthersForSlot">,
): EstimateInputs {
  const withoutMean = { ...base, meanOthersForSlot: 0 };
  let total = 0;
  let weights = 0;
  for (const server of candidates) {
    const weight = reportWeight(server, withoutMean);
    if (weight === 0) continue;
    total += weight * (othersInFlight(server) ?? 0) / server.intention.slots;
    weights += weight;
  }
  return { ...base, meanOthersForSlot: weights === 0 ? 0 : total / weights };
}

/** Estimated calls in flight at a backend server from other entries. */
function estimatedOthersInFlight(
  server: BackendServerState,
  inputs: EstimateInputs,
): number {
  const mean = inputs.meanOthersForSlot * server.intention.slots;
  const reported = othersInFlight(server);
  if (reported === undefined) return mean;
  return mean + (reported - mean) * reportWeight(server, inputs);
}

/** Rises linearly to 1 during the warm-up of a newly added backend server. */
function warmUpFactor(server: BackendServerState, now: number): number {
  const age = now - server.firstSeenAtMilliseconds;
  if (age >= WARM_UP_MILLISECONDS) return 1;
  return INITIAL_WARM_UP_FACTOR +
    (1 - INITIAL_WARM_UP_FACTOR) * age / WARM_UP_MILLISECONDS;
}

/** Chooses the candidate with the fewest estimated calls in flight per slot. */
export function agedReportsPolicy(context: ChoosingContext): ChoosingPolicy {
  function choose(candidates: readonly BackendServerState[]): Choice {
    const now = context.clock();
    const latency = medianLatencyMilliseconds(candidates);
    const decayMilliseconds = Math.max(
      MINIMUM_DECAY_MILLISECONDS,
      latency ?? DEFAULT_DECAY_MILLISECONDS,
    );
    const inputs = estimateInputs(candidates, { now, decayMilliseconds });
    function score(server: BackendServerState): number {
      const work = server.ownInFlight +
        estimatedOthersInFlight(server, inputs) + 1;
      const slowdown = slowdownOf(server, {
        now,
        medianLatencyMilliseconds: latency,
      });
      return work / server.intention.slots * slowdown /
        warmUpFactor(server, now);
    }
    return pickLowestScore(candidates, {
      score,
      random: context.random,
      why: "least-believed-work",
    });
  }
  return { name: "aged-reports", choose };
}

CHOOSING_POLICIES.register("aged-reports", agedReportsPolicy);
