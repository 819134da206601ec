/**
 * Tests the parser of answer heads with valid, malformed and random input.
 */
import { assert as assertProperty, property, string } from "fast-check";
import { describe, expect, it } from "vitest";
import { parseAnswerHead } from "./answer_head.ts";

const SEED = 20_261_204;
const RUN_COUNT = 2_000;

describe("parseAnswerHead", () => {
  it("parses status and headers, and collects repeated headers", () => {
    const head = parseAnswerHead(
      "HTTP/1.1 200 OK\r\nLoad: 1,0,4\r\nX-Two: a\r\nx-two:b  \r\nEmpty:",
    );
    expect(head?.status).toBe(200);
    expect({ ...head?.headers }).toEqual({
      load: "1,0,4",
      "x-two": ["a", "b"],
      empty: "",
    });
  });

  it("rejects malformed heads", () => {
    for (
      const text of [
        "",
        "HTTP/1.1 100 Continue",
        "HTTP/2 200",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 200 OK\r\n folded: x",
        "HTTP/1.1 200 OK\r\nno colon",
        "HTTP/1.1 200 OK\r\nbad name: x",
        "HTTP/1.1 200 OK\r\nsmuggled: a\nb: c\r\n",
      ]
    ) expect(parseAnswerHead(text), JSON.stringify(text)).toBeUndefined();
  });

  it("returns no properties of the object prototype as headers", () => {
    const head = parseAnswerHead("HTTP/1.1 200 OK\r\n__proto__: x");
    expect(head?.headers["constructor"]).toBeUndefined();
  });

  it("never throws on arbitrary input", () => {
    assertProperty(
      property(string({ unit: "binary" }), string(), (start, rest) => {
        parseAnswerHead(`${start}\r\n${rest}`);
        parseAnswerHead(`HTTP/1.1 200 ${start}\r\n${rest}`);
      }),
      { seed: SEED, numRuns: RUN_COUNT },
    );
  });
});
