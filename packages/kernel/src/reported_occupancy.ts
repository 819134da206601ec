/**
 * Estimates the load of the servers of a service whose own load is not known,
 * from the reports of the others.
 *
 * In a large fleet an entry hears from each server only now and then. Taking
 * the others for idle would send the requests for which no idle server was found
 * to just those servers, however full all of them are. As entries prefer the
 * servers of their own failure domain, the domains may be loaded differently.
 */
import type { ServerLoad } from "./server_load.ts";
import type { FailureDomain } from "./types.ts";

/** Time constant of the decay of a report; load changes within a second. */
const DECAY_MILLISECONDS = 300;
/** Older reports say nothing of the current load. */
const MAXIMUM_AGE_MILLISECONDS = 1_000;
/** Weight of the mean of the service in that of a failure domain, in reports. */
const SERVICE_WEIGHT = 1;

class WeightedMean {
  #weights = 0;
  #sum = 0;

  add(value: number, weight: number): void {
    this.#weights += weight;
    this.#sum += value * weight;
  }

  /** Zero without values. */
  get value(): number {
    return this.#weights === 0 ? 0 : this.#sum / this.#weights;
  }
}

/**
 * Returns the mean occupancy of the servers of a failure domain by the reports
 * of `servers`, as a share of their slots. Zero without recent ones.
 */
export function reportedOccupancy(
  servers: readonly ServerLoad[],
  now: number,
): (failureDomain: FailureDomain) => number {
  const ofService = new WeightedMean();
  const ofDomains = new Map<FailureDomain, WeightedMean>();
  for (const { lastReport, registration: { failureDomain } } of servers) {
    if (lastReport === undefined) continue;
    const { running, waiting, slots, atMilliseconds } = lastReport;
    const age = now - atMilliseconds;
    if (age > MAXIMUM_AGE_MILLISECONDS) continue;
    const occupancy = (running + waiting) / slots;
    const weight = Math.exp(-age / DECAY_MILLISECONDS);
    ofService.add(occupancy, weight);
    const ofDomain = ofDomains.get(failureDomain) ?? new WeightedMean();
    ofDomain.add(occupancy, weight);
    ofDomains.set(failureDomain, ofDomain);
  }
  for (const ofDomain of ofDomains.values()) {
    ofDomain.add(ofService.value, SERVICE_WEIGHT);
  }
  return (failureDomain) =>
    ofDomains.get(failureDomain)?.value ?? ofService.value;
}
