/**
 * Learns what the requests of a route cost: the time that an idle server of
 * usual speed needs, and the size of the answers.
 *
 * Only answers that found a free slot teach the time, divided by the slowdown
 * that the server reported; time spent waiting would otherwise count as work.
 */
const SMOOTHING = 0.05;
/** The longest wait is forgotten over some hundred requests. */
const WAIT_MEMORY = 0.998;
/** Callers that give less than this part of it are taken as returning. */
const RETURNING_PART = 0.95;
/** Before the first answers a route is taken to need this. */
const DEFAULT_WORK_MILLISECONDS = 70;
const DEFAULT_ANSWER_BYTES = 2_000;
const DEFAULT_DOWNLOAD_BYTES = 100_000;

export class RouteEstimates {
  #workMilliseconds = DEFAULT_WORK_MILLISECONDS;
  #answerBytes: number;
  #usualWait = 0;
  #samples = 0;

  constructor(isDownload: boolean) {
    this.#answerBytes = isDownload
      ? DEFAULT_DOWNLOAD_BYTES
      : DEFAULT_ANSWER_BYTES;
  }

  get serviceTimeMilliseconds(): number {
    return this.#workMilliseconds;
  }

  get answerBytes(): number {
    return this.#answerBytes;
  }

  /**
   * Notes how long a caller will wait, and tells whether it is less than what
   * callers of the route usually give: it has then waited before, and comes
   * back after a refusal.
   */
  recordCallerTimeout(milliseconds: number): boolean {
    this.#usualWait = Math.max(milliseconds, this.#usualWait * WAIT_MEMORY);
    return milliseconds < this.#usualWait * RETURNING_PART;
  }

  addSample(
    sample: { serviceTimeMilliseconds: number; answerBytes: number },
  ): void {
    this.#samples += 1;
    const weight = Math.max(SMOOTHING, 1 / (this.#samples + 1));
    this.#workMilliseconds += weight *
      (sample.serviceTimeMilliseconds - this.#workMilliseconds);
    this.#answerBytes += weight * (sample.answerBytes - this.#answerBytes);
  }
}
