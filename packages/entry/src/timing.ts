/**
 * Waiting, without keeping a process alive that has nothing else to do.
 */

/** Resolves after a while; alone it does not keep the process running. */
export function sleepUnreferenced(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds).unref();
  });
}

/** Resolves with the promise, or after the bound. */
export async function waitAtMost(
  promise: Promise<void>,
  milliseconds: number,
): Promise<void> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const bound = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, milliseconds);
  });
  await Promise.race([promise, bound]);
  clearTimeout(timer);
}
