/**
 * The policies that ours is measured against: random, round robin, least own
 * calls in flight, and two random choices (Mitzenmacher, "The Power of Two
 * Choices in Randomized Load Balancing", 2001).
 */
import type { BackendServerState } from "./backend_server_state.ts";
import {
  type Choice,
  CHOOSING_POLICIES,
  type ChoosingContext,
  type ChoosingPolicy,
  pickLowestScore,
} from "./choosing_policy.ts";

function ownInFlight(server: BackendServerState): number {
  return server.ownInFlight / server.intention.slots;
}

function pickIndex(length: number, context: ChoosingContext): number {
  return Math.min(length - 1, Math.floor(context.random() * length));
}

/** Any candidate with the same probability. */
export function randomPolicy(context: ChoosingContext): ChoosingPolicy {
  function choose(candidates: readonly BackendServerState[]): Choice {
    const server = candidates[pickIndex(candidates.length, context)];
    return { server, score: 0, why: "random" };
  }
  return { name: "random", choose };
}

/** Candidates in turn, from a random start. */
export function roundRobinPolicy(context: ChoosingContext): ChoosingPolicy {
  let turn = Math.floor(context.random() * 1_000);
  function choose(candidates: readonly BackendServerState[]): Choice {
    turn += 1;
    const server = candidates[turn % candidates.length];
    return { server, score: 0, why: "turn" };
  }
  return { name: "round-robin", choose };
}

/** The candidate with the fewest own calls in flight for each slot. */
export function leastInFlightPolicy(context: ChoosingContext): ChoosingPolicy {
  function choose(candidates: readonly BackendServerState[]): Choice {
    return pickLowestScore(candidates, {
      score: ownInFlight,
      random: context.random,
      why: "least-own-in-flight",
    });
  }
  return { name: "least-in-flight", choose };
}

/** The better of two random candidates by own calls in flight. */
export function twoChoicesPolicy(context: ChoosingContext): ChoosingPolicy {
  function choose(candidates: readonly BackendServerState[]): Choice {
    const first = pickIndex(candidates.length, context);
    const step = 1 + pickIndex(candidates.length - 1, context);
    const second = (first + step) % candidates.length;
    return pickLowestScore([candidates[first], candidates[second]], {
      score: ownInFlight,
      random: context.random,
      why: "better-of-two",
    });
  }
  return { name: "two-choices", choose };
}

CHOOSING_POLICIES.register("random", randomPolicy);
CHOOSING_POLICIES.register("round-robin", roundRobinPolicy);
CHOOSING_POLICIES.register("least-in-flight", leastInFlightPolicy);
CHOOSING_POLICIES.register("two-choices", twoChoicesPolicy);
