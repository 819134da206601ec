/**
 * Selects the backend servers that may receive a call now.
 *
 * Leaving and shedding ones are never selected. Failing ones are ejected,
 * unless so many are failing that the rest would be overloaded: then they are
 * selected as well, because a wrong ejection does more harm than a failed
 * attempt.
 */
import type { BackendServerState } from "./backend_server_state.ts";
import type { Address } from "./types.ts";

export type CandidateSelectionInputs = {
  readonly now: number;
  readonly inFlightLimit: (server: BackendServerState) => number;
  /** Addresses that this call has already tried. */
  readonly tried: ReadonlySet<Address>;
  /** Whether the call is suspected of having crashed a backend server. */
  readonly isSuspect: boolean;
};

export type CandidateSelection = {
  readonly candidates: readonly BackendServerState[];
  /** Whether a server that is full or shedding may take the call later. */
  readonly mayHaveCapacityLater: boolean;
};

/** Below this share of live servers, failing ones are used as well. */
const MINIMUM_SHARE_IN_USE = 0.5;

/** Selects candidates among the backend servers of one service. */
export function selectCandidates(
  servers: Iterable<BackendServerState>,
  inputs: CandidateSelectionInputs,
): CandidateSelection {
  const live: BackendServerState[] = [];
  const failing: BackendServerState[] = [];
  let isAnyShedding = false;
  for (const server of servers) {
    if (inputs.tried.has(server.address)) continue;
    const condition = server.condition(inputs.now);
    if (condition === "live") live.push(server);
    if (condition === "failing") failing.push(server);
    if (condition === "shedding") isAnyShedding = true;
  }
  const inUse = addFailingIfTooFew(live, failing);
  const withCapacity = inUse.filter((server) =>
    server.ownInFlight < inputs.inFlightLimit(server)
  );
  const candidates = isolateSuspects(withCapacity, inputs);
  return {
    candidates,
    mayHaveCapacityLater: inUse.length > 0 || isAnyShedding,
  };
}

/**
 * Places a suspected call alone on a backend server where possible, so that a
 * second crash raises suspicion against it alone and not against other calls.
 */
function isolateSuspects(
  servers: BackendServerState[],
  inputs: CandidateSelectionInputs,
): BackendServerState[] {
  const isolated = servers.filter((server) => {
    if (inputs.isSuspect) return server.ownInFlight === 0;
    return server.suspectsInFlight === 0;
  });
  return isolated.length > 0 ? isolated : servers;
}

function addFailingIfTooFew(
  live: BackendServerState[],
  failing: BackendServerState[],
): BackendServerState[] {
  const minimumCount = Math.ceil(
    (live.length + failing.length) * MINIMUM_SHARE_IN_USE,
  );
  if (live.length >= minimumCount) return live;
  return [...live, ...failing];
}
