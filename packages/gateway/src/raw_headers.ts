/**
 * Raw header lists (name, value, name, value ...), as Node gives and takes
 * them, so that names, order and repeated headers pass unchanged.
 */

/** Headers that concern one connection only and are never forwarded. */
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

/** Copies a list without connection headers and those in `left`. */
export function copyEndToEndHeaders(
  raw: readonly string[],
  left: ReadonlySet<string>,
): string[] {
  const named = namedByConnection(raw);
  const copied: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (CONNECTION_HEADERS.has(name)) continue;
    if (left.has(name) || named.has(name)) continue;
    copied.push(raw[index], raw[index + 1]);
  }
  return copied;
}

/** Header names that the Connection header declares to be of one hop. */
function namedByConnection(raw: readonly string[]): ReadonlySet<string> {
  const named = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index].toLowerCase() !== "connection") continue;
    for (const name of raw[index + 1].split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  return named;
}
