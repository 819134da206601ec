/**
 * Tells whether the status of a final answer is one that may be forwarded. Node
 * accepts any three digits, such as 000, and answers 100 to 199 are interim.
 */

const MINIMUM_FINAL_STATUS = 200;
const MAXIMUM_STATUS = 599;

export function isValidStatus(status: number | undefined): boolean {
  return status !== undefined && status >= MINIMUM_FINAL_STATUS &&
    status <= MAXIMUM_STATUS;
}
