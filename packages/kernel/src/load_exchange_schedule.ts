/**
 * Decides how often entries tell each other what they have in flight.
 *
 * Every entry hears from every other one, so the messages that an entry
 * receives grow with the fleet. Beyond a fixed number per second the interval
 * grows instead, until the messages would be too old to be of use: with more
 * entries each of them has fewer requests in flight, and a server is probed
 * right before a request is sent to it in any case.
 */

/** Messages that an entry receives in a second; a small part of its time. */
const MAXIMUM_RECEIVED_PER_SECOND = 125;
const MILLISECONDS_IN_SECOND = 1_000;

/**
 * Interval in milliseconds at which each of `senders` entries sends to the
 * others. Undefined if the messages are not worth sending.
 */
export function loadExchangeInterval(
  { senders, minimumMilliseconds, maximumMilliseconds }: {
    readonly senders: number;
    /** Interval in a small fleet. */
    readonly minimumMilliseconds: number;
    /** Age beyond which a message is of no use. */
    readonly maximumMilliseconds: number;
  },
): number | undefined {
  const interval = Math.max(
    minimumMilliseconds,
    senders * MILLISECONDS_IN_SECOND / MAXIMUM_RECEIVED_PER_SECOND,
  );
  return interval <= maximumMilliseconds ? interval : undefined;
}
