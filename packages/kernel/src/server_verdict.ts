/**
 * Decides whether a backend server is down, or only the way of one entry to it,
 * from what entries find that try to reach it.
 *
 * One entry that reaches the server proves that the server lives. An entry that
 * reaches none of the servers of a service says nothing about a single one.
 */

/** What an entry finds that tries to reach a server. */
export type ServerFinding = "reached" | "not-reached" | "cut";

/** `open`: findings to come may still decide. */
export type ServerVerdict = "alive" | "down" | "open" | "unknown";

/** The verdict by the findings of peers; `asked` of them were asked. */
export function judgeServer(
  findings: readonly ServerFinding[],
  asked: number,
): ServerVerdict {
  if (findings.includes("reached")) return "alive";
  if (findings.length < asked) return "open";
  return findings.includes("not-reached") ? "down" : "unknown";
}
