/**
 * Parses the head of an HTTP/1.1 answer.
 */

/** Values by lower-case name; repeated headers are arrays. */
export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

export type AnswerHead = {
  readonly status: number;
  readonly headers: AnswerHeaders;
};

const STATUS_LINE = /^HTTP\/1\.[01] ([2-5]\d\d)(?: |$)/;
const HEADER_LINE = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*$/;

/** Parses a head without its empty line; undefined if it is malformed. */
export function parseAnswerHead(text: string): AnswerHead | undefined {
  const [statusLine, ...lines] = text.split("\r\n");
  const status = STATUS_LINE.exec(statusLine)?.[1];
  if (status === undefined) return undefined;
  const headers: Record<string, string | string[]> = Object.create(null);
  for (const line of lines) {
    const match = HEADER_LINE.exec(line);
    if (match === null) return undefined;
    const name = match[1].toLowerCase();
    const existing = headers[name];
    headers[name] = existing === undefined
      ? match[2]
      : [existing, match[2]].flat();
  }
  return { status: Number(status), headers };
}
