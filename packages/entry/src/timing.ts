/**
 * Timers: a sleep that does not keep the process alive, and a bounded wait.
 */

/** Resolves after a delay; its timer does not keep the process alive. */
export function sleepUnreferenced(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds).unref();
  });
}

/** Resolves when the promise does, or after the timeout. */
export async function waitAtMost(
  promise: Promise<void>,
  milliseconds: number,
): Promise<void> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, milliseconds);
  });
  await Promise.race([promise, timeout]);
  clearTimeout(timer);
}
