/**
 * Raw header lists (name, value, name, value ...) as Node reads and writes
 * them, so that case, order and repeated headers are forwarded unchanged.
 */

/**
 * Headers that belong to one connection and are never forwarded (RFC 9110,
 * section 7.6.1).
 */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/**
 * Copies a list without connection headers and those in `excluded`. Headers in
 * `kept` are for all recipients, also if the Connection header lists them.
 */
export function copyEndToEndHeaders(
  raw: readonly string[],
  excluded: ReadonlySet<string>,
  kept: ReadonlySet<string> = new Set(),
): string[] {
  const connectionOptions = connectionOptionsOf(raw);
  const copied: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (CONNECTION_HEADERS.has(name)) continue;
    const isOption = connectionOptions.has(name) && !kept.has(name);
    if (excluded.has(name) || isOption) continue;
    copied.push(raw[index], raw[index + 1]);
  }
  return copied;
}

/** Header names that the Connection header limits to one connection. */
function connectionOptionsOf(raw: readonly string[]): ReadonlySet<string> {
  const connectionOptions = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index].toLowerCase() !== "connection") continue;
    for (const name of raw[index + 1].split(",")) {
      connectionOptions.add(name.trim().toLowerCase());
    }
  }
  return connectionOptions;
}
