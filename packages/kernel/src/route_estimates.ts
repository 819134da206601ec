/**
 * Estimates the cost of the requests of a route: the service time on an idle
 * server of usual speed and the size of the answers.
 *
 * Service times are sampled only from requests that found a free slot and are
 * divided by the slowdown that the server reported; otherwise time spent in a
 * queue would count as service time.
 */
const SMOOTHING = 0.05;
/** Decay per request; the usual timeout adapts over some hundred requests. */
const TIMEOUT_DECAY = 0.998;
/** A timeout below this share of the usual one marks a retry by the caller. */
const CALLER_RETRY_SHARE = 0.95;
/** Assumed until the first answers of the route arrive. */
const DEFAULT_SERVICE_TIME_MILLISECONDS = 70;
const DEFAULT_ANSWER_BYTES = 2_000;
const DEFAULT_DOWNLOAD_BYTES = 100_000;

export class RouteEstimates {
  #serviceTimeMilliseconds = DEFAULT_SERVICE_TIME_MILLISECONDS;
  #answerBytes: number;
  #usualTimeoutMilliseconds = 0;
  #sampleCount = 0;

  constructor(isDownload: boolean) {
    this.#answerBytes = isDownload
      ? DEFAULT_DOWNLOAD_BYTES
      : DEFAULT_ANSWER_BYTES;
  }

  get serviceTimeMilliseconds(): number {
    return this.#serviceTimeMilliseconds;
  }

  get answerBytes(): number {
    return this.#answerBytes;
  }

  /**
   * Records how long a caller will wait and returns whether it is less than is
   * usual on the route: such a caller has already spent time on a request that
   * was refused, and retries it.
   */
  recordCallerTimeout(milliseconds: number): boolean {
    this.#usualTimeoutMilliseconds = Math.max(
      milliseconds,
      this.#usualTimeoutMilliseconds * TIMEOUT_DECAY,
    );
    return milliseconds < this.#usualTimeoutMilliseconds * CALLER_RETRY_SHARE;
  }

  addSample(
    sample: { serviceTimeMilliseconds: number; answerBytes: number },
  ): void {
    this.#sampleCount += 1;
    const weight = Math.max(SMOOTHING, 1 / (this.#sampleCount + 1));
    this.#serviceTimeMilliseconds += weight *
      (sample.serviceTimeMilliseconds - this.#serviceTimeMilliseconds);
    this.#answerBytes += weight * (sample.answerBytes - this.#answerBytes);
  }
}
