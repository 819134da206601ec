/**
 * Which backend servers may take a call now.
 *
 * Leaving ones never may. Blocked ones (shedding or failing) may not, unless
 * so many are failing that the rest would be overrun: then failing ones are
 * tried as well, because a wrong ejection does more harm than a failed try.
 */
import type { BackendServerState } from "./backend_server_state.ts";
import type { Address } from "./types.ts";

export type CandidateSelectionInputs = {
  readonly now: number;
  readonly inFlightLimit: (server: BackendServerState) => number;
  /** Addresses that this call has already tried. */
  readonly tried: ReadonlySet<Address>;
  /** Whether the call may have crashed a backend server. */
  readonly isSuspect: boolean;
};

export type CandidateSelection = {
  readonly candidates: readonly BackendServerState[];
  /** Whether a backend server might take the call once one has room. */
  readonly mayHaveCapacityLater: boolean;
};

/** Least share of a service's backend servers that is kept in use. */
const LEAST_SHARE_IN_USE = 0.5;

/** Selects the candidates of one service. */
export function selectCandidates(
  servers: Iterable<BackendServerState>,
  view: CandidateSelectionInputs,
): CandidateSelection {
  const live: BackendServerState[] = [];
  const failing: BackendServerState[] = [];
  let isAnyShedding = false;
  for (const server of servers) {
    if (view.tried.has(server.address)) continue;
    const condition = server.condition(view.now);
    if (condition === "live") live.push(server);
    if (condition === "failing") failing.push(server);
    if (condition === "shedding") isAnyShedding = true;
  }
  const inUse = keepEnoughInUse(live, failing);
  const withRoom = inUse.filter((server) =>
    server.ownInFlight < view.inFlightLimit(server)
  );
  const candidates = isolateSuspects(withRoom, view);
  return {
    candidates,
    mayHaveCapacityLater: inUse.length > 0 || isAnyShedding,
  };
}

/**
 * Keeps a suspect alone on its backend server where there is a choice, so
 * that a second crash tells it from the calls that were only beside it.
 */
function isolateSuspects(
  servers: BackendServerState[],
  view: CandidateSelectionInputs,
): BackendServerState[] {
  const apart = servers.filter((server) => {
    if (view.isSuspect) return server.ownInFlight === 0;
    return server.suspectsInFlight === 0;
  });
  return apart.length > 0 ? apart : servers;
}

function keepEnoughInUse(
  live: BackendServerState[],
  failing: BackendServerState[],
): BackendServerState[] {
  const least = Math.ceil((live.length + failing.length) * LEAST_SHARE_IN_USE);
  if (live.length >= least) return live;
  return [...live, ...failing];
}
