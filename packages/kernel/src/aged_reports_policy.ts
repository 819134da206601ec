/**
 * The default policy: scores every candidate by the work it is believed to
 * hold, with reports that lose weight as they age.
 *
 * The work of other entries at a backend server is its last reported number
 * of calls in flight less this entry's own at that moment. With age it decays
 * towards the mean over the candidates, because an old report says little
 * about this backend server but something about the service. Own calls in
 * flight are exact and are added whole. The score is the believed work after
 * this call, for each slot, times the slowdown of a straggler.
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

/** Lower bound of the decay time, for services that answer very fast. */
const SHORTEST_DECAY_MILLISECONDS = 5;
const DEFAULT_DECAY_MILLISECONDS = 20;
const WARM_UP_MILLISECONDS = 2_000;
const COLDEST_SHARE = 0.25;

function othersInFlight(server: BackendServerState): number | undefined {
  const report = server.report;
  if (report === undefined) return undefined;
  return Math.max(0, report.inFlight - report.ownInFlight);
}

type Weighting = {
  readonly now: number;
  readonly decayMilliseconds: number;
  readonly meanOthersForSlot: number;
};

function freshness(server: BackendServerState, weighting: Weighting): number {
  if (server.report === undefined) return 0;
  const age = weighting.now - server.report.receivedAtMilliseconds;
  return Math.exp(-age / weighting.decayMilliseconds);
}

/** Mean of the others' work for each slot, weighted by freshness. */
function weigh(
  candidates: readonly BackendServerState[],
  base: Omit<Weighting, "meanOthersForSlot">,
): Weighting {
  const start = { ...base, meanOthersForSlot: 0 };
  let total = 0;
  let weights = 0;
  for (const server of candidates) {
    const weight = freshness(server, start);
    if (weight === 0) continue;
    total += weight * (othersInFlight(server) ?? 0) / server.intention.slots;
    weights += weight;
  }
  return { ...base, meanOthersForSlot: weights === 0 ? 0 : total / weights };
}

/** Believed calls in flight at a backend server from other entries. */
function believedOthers(
  server: BackendServerState,
  weighting: Weighting,
): number {
  const mean = weighting.meanOthersForSlot * server.intention.slots;
  const reported = othersInFlight(server);
  if (reported === undefined) return mean;
  return mean + (reported - mean) * freshness(server, weighting);
}

/** A backend server seen for the first time ramps up over a short while. */
function warmth(server: BackendServerState, now: number): number {
  const age = now - server.firstSeenAtMilliseconds;
  if (age >= WARM_UP_MILLISECONDS) return 1;
  return COLDEST_SHARE + (1 - COLDEST_SHARE) * age / WARM_UP_MILLISECONDS;
}

/** Chooses the candidate with the least believed work for each slot. */
export function agedReportsPolicy(context: ChoosingContext): ChoosingPolicy {
  function choose(candidates: readonly BackendServerState[]): Choice {
    const now = context.clock();
    const latency = medianLatencyMilliseconds(candidates);
    const decayMilliseconds = Math.max(
      SHORTEST_DECAY_MILLISECONDS,
      latency ?? DEFAULT_DECAY_MILLISECONDS,
    );
    const weighting = weigh(candidates, { now, decayMilliseconds });
    function score(server: BackendServerState): number {
      const work = server.ownInFlight + believedOthers(server, weighting) + 1;
      const slowdown = slowdownOf(server, {
        now,
        medianLatencyMilliseconds: latency,
      });
      return work / server.intention.slots * slowdown / warmth(server, now);
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
