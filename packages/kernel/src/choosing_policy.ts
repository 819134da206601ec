/**
 * The plug-in interface of policies that choose a backend server.
 */
import type { BackendServerState } from "./backend_server_state.ts";
import { PlugInRegistry } from "./plug_ins.ts";
import type { Clock, RandomSource } from "./types.ts";

export type ChoosingContext = {
  readonly clock: Clock;
  readonly random: RandomSource;
};

/** Why a candidate was chosen, for the decision log. */
export type Choice = {
  readonly server: BackendServerState;
  readonly score: number;
  readonly why: string;
};

/**
 * Chooses among candidates that may take the call. The list is never empty;
 * leaving, blocked and full backend servers are not on it.
 */
export type ChoosingPolicy = {
  readonly name: string;
  readonly choose: (candidates: readonly BackendServerState[]) => Choice;
};

export type ChoosingPolicyPlugIn = (context: ChoosingContext) => ChoosingPolicy;

/** All choosing policies by name. */
export const CHOOSING_POLICIES = new PlugInRegistry<ChoosingPolicyPlugIn>();

/** The candidate with the least score; ties are broken at random. */
export function pickLowestScore(
  candidates: readonly BackendServerState[],
  options: {
    readonly score: (server: BackendServerState) => number;
    readonly random: RandomSource;
    readonly why: string;
  },
): Choice {
  let best = candidates[0];
  let bestScore = Infinity;
  let ties = 0;
  for (const candidate of candidates) {
    const score = options.score(candidate);
    if (score > bestScore) continue;
    ties = score === bestScore ? ties + 1 : 1;
    if (ties > 1 && options.random() * ties >= 1) continue;
    best = candidate;
    bestScore = score;
  }
  return { server: best, score: bestScore, why: options.why };
}
