/**
 * Estimates the cost of the requests of a route: the service time on an idle
 * server of usual speed and the size of the answers.
 *
 * Service times are sampled only from requests that found a free slot and are
 * divided by the slowdown that the server reported right before; otherwise time
 * spent in a queue would count as service time.
 */
/** The first samples weigh more, so that they soon replace the defaults. */
const MINIMUM_SAMPLE_WEIGHT = 0.05;
/** Decay per request; the usual timeout adapts over some hundred requests. */
const TIMEOUT_DECAY = 0.998;
/** Increase per request at most, so that one odd deadline does no harm. */
const MAXIMUM_TIMEOUT_INCREASE = 1.04;
/** A timeout below this share of the usual one marks a retry by the caller. */
const CALLER_RETRY_SHARE = 0.95;
/**
 * Service time that is assumed until the first answers of the route arrive, as
 * a share of the objective. In a large fleet an entry waits long for them.
 */
const DEFAULT_SERVICE_TIME_OBJECTIVES = 0.35;
const DEFAULT_ANSWER_BYTES = 2_000;
const DEFAULT_DOWNLOAD_BYTES = 100_000;

export class RouteEstimates {
  #serviceTimeMilliseconds: number;
  #answerBytes: number;
  #usualTimeoutMilliseconds = 0;
  #sampleCount = 0;

  constructor(
    { objectiveMilliseconds, isDownload }: {
      readonly objectiveMilliseconds: number;
      readonly isDownload: boolean;
    },
  ) {
    this.#serviceTimeMilliseconds = DEFAULT_SERVICE_TIME_OBJECTIVES *
      objectiveMilliseconds;
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
   * Records how long a caller will wait and returns how long ago it sent its
   * first try: a caller that was refused before has used up part of its time,
   * so its timeout is shorter than the usual one of the route. 0 if the request
   * does not count as a retry.
   */
  recordCallerTimeout(milliseconds: number): number {
    const usual = this.#usualTimeoutMilliseconds;
    this.#usualTimeoutMilliseconds = usual === 0 ? milliseconds : Math.max(
      Math.min(milliseconds, usual * MAXIMUM_TIMEOUT_INCREASE),
      usual * TIMEOUT_DECAY,
    );
    const known = this.#usualTimeoutMilliseconds;
    return milliseconds < known * CALLER_RETRY_SHARE ? known - milliseconds : 0;
  }

  addSample(
    sample: { serviceTimeMilliseconds: number; answerBytes: number },
  ): void {
    this.#sampleCount += 1;
    const weight = Math.max(MINIMUM_SAMPLE_WEIGHT, 1 / (this.#sampleCount + 1));
    this.#serviceTimeMilliseconds += weight *
      (sample.serviceTimeMilliseconds - this.#serviceTimeMilliseconds);
    this.#answerBytes += weight * (sample.answerBytes - this.#answerBytes);
  }
}
