/**
 * Queue of the requests of one service that wait at the entry until a backend
 * server has capacity.
 *
 * It handles bursts beyond the capacity of the servers, which would queue them
 * in order of arrival and slow down when full. Queueing at the entry keeps the
 * servers at the load with the highest throughput. Capacity goes to requests
 * that can still be answered in time, in order of priority; the others are
 * refused while their callers still have time to retry elsewhere.
 */
export type QueuedRequest = {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected service time once a server has capacity. */
  readonly serviceTimeMilliseconds: number;
  /**
   * An answer until this time meets the latency objective, which counts from
   * the caller's first try.
   */
  readonly objectiveAtMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** The caller has no use for an answer after this time. */
  readonly deadlineAtMilliseconds: number;
  readonly arrivedAtMilliseconds: number;
  /** Whether the caller retries after a refusal. */
  readonly isCallerRetry: boolean;
  readonly onDequeued: (decision: QueueDecision) => void;
};

/**
 * `try`: a server may have capacity. `give-up`: no answer is expected in time.
 */
export type QueueDecision = "try" | "give-up";

/**
 * Maximum wait as a share of the objective. It leaves callers that are told to
 * retry enough time to do so.
 */
const MAXIMUM_WAIT_OBJECTIVES = 0.5;
/** Retries that are late already are refused soon. */
const CALLER_RETRY_WAIT_MILLISECONDS = 30;

export class RequestQueue {
  readonly #requests = new Set<QueuedRequest>();

  get length(): number {
    return this.#requests.size;
  }

  /** Shortest expected service time; infinite if no request is queued. */
  get minimumServiceTimeMilliseconds(): number {
    let minimum = Infinity;
    for (const { serviceTimeMilliseconds } of this.#requests) {
      minimum = Math.min(minimum, serviceTimeMilliseconds);
    }
    return minimum;
  }

  add(request: QueuedRequest): void {
    this.#requests.add(request);
  }

  remove(request: QueuedRequest): void {
    this.#requests.delete(request);
  }

  /**
   * Removes and returns the requests that are not expected to be answered in
   * time. While others can still meet their objective, a request that cannot is
   * refused at once instead of using their capacity.
   */
  shedLate(now: number): QueuedRequest[] {
    const late: QueuedRequest[] = [];
    const isContested = this.#hasTimelyRequest(now);
    for (const request of this.#requests) {
      const isDisplaced = isContested && !mayMeetObjective(request, now);
      if (isDisplaced || isPastMaximumWait(request, now)) late.push(request);
    }
    for (const request of late) this.#requests.delete(request);
    return late;
  }

  #hasTimelyRequest(now: number): boolean {
    for (const request of this.#requests) {
      if (mayMeetObjective(request, now)) return true;
    }
    return false;
  }

  /**
   * Removes and returns the next request, by ability to meet the objective,
   * then by priority, then by earliest objective.
   */
  takeNext(now: number): QueuedRequest | undefined {
    const first = this.first(now);
    if (first !== undefined) this.#requests.delete(first);
    return first;
  }

  /** The request that `takeNext` would return. */
  first(now: number): QueuedRequest | undefined {
    let best: QueuedRequest | undefined;
    for (const request of this.#requests) {
      if (best === undefined || isBefore(request, best, now)) best = request;
    }
    return best;
  }

  /** Number of queued requests that would be dequeued before `request`. */
  countAhead(request: QueuedRequest, now: number): number {
    let count = 0;
    for (const other of this.#requests) {
      if (isBefore(other, request, now)) count += 1;
    }
    return count;
  }
}

/**
 * Whether a request has waited for longer than its maximum, whatever else is
 * queued.
 */
export function isPastMaximumWait(
  request: QueuedRequest,
  now: number,
): boolean {
  return now > request.arrivedAtMilliseconds + maximumWaitMilliseconds(request);
}

/** Maximum time that a request may wait in the queue. */
function maximumWaitMilliseconds(request: QueuedRequest): number {
  const {
    arrivedAtMilliseconds: arrived,
    serviceTimeMilliseconds: serviceTime,
  } = request;
  if (request.isCallerRetry && !mayMeetObjective(request, arrived)) {
    return CALLER_RETRY_WAIT_MILLISECONDS;
  }
  return Math.min(
    request.deadlineAtMilliseconds - arrived - serviceTime,
    MAXIMUM_WAIT_OBJECTIVES * request.objectiveMilliseconds,
  );
}

function mayMeetObjective(request: QueuedRequest, now: number): boolean {
  return now + request.serviceTimeMilliseconds <=
    request.objectiveAtMilliseconds;
}

function isBefore(
  left: QueuedRequest,
  right: QueuedRequest,
  now: number,
): boolean {
  const isLeftTimely = mayMeetObjective(left, now);
  if (isLeftTimely !== mayMeetObjective(right, now)) return isLeftTimely;
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.objectiveAtMilliseconds < right.objectiveAtMilliseconds;
}
