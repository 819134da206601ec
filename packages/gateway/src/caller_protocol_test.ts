/**
 * Tests that a load header with odd numbers is no load report.
 */
import fastCheck from "fast-check";
import { expect, it } from "vitest";
import { CALLER_PROTOCOLS, makeHeaderProtocol } from "./caller_protocol.ts";

const PROTOCOL = CALLER_PROTOCOLS.find("marigoldford")._unsafeUnwrap();

function readLoad(text: string) {
  return PROTOCOL.readLoad({ [PROTOCOL.headers.load]: text }, "answer");
}

// Guards against: a server with one request left counts as having two, and the
// slot that has just become free stays idle.
it("an answer's load leaves out the request that is answered", () => {
  const { readLoad } = makeHeaderProtocol(PROTOCOL.headers, undefined, {
    countsAnswered: true,
  });
  const headers = { [PROTOCOL.headers.load]: "2,0,4" };
  expect(readLoad(headers, "answer")).toMatchObject({ running: 1 });
  expect(readLoad(headers, "probe")).toMatchObject({ running: 2 });
});

it("usual load headers are reports", () => {
  expect(readLoad("3,0,8"))
    .toEqual({ running: 3, waiting: 0, slots: 8, slowdown: 1 });
  expect(readLoad(" 3, 1, 8, 250 "))
    .toEqual({ running: 3, waiting: 1, slots: 8, slowdown: 2.5 });
});

it.each([
  "",
  ",,",
  "1,2",
  "1,0,4,",
  "1,0,4,0",
  "1,0,0",
  "-1,0,4",
  "1.5,0,4",
  "1e3,0,4",
  "0x10,0,4",
  "1e999,0,4",
  "NaN,0,4",
  "99999999999999999999,0,4",
  "1,0,4,1e999",
  "1,0,4,99999999999999999999",
])("the load header %j is no report", (text) => {
  expect(readLoad(text)).toBeUndefined();
});

it("the slowdown of a report is never zero or infinite", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(
        fastCheck.oneof(
          fastCheck.double().map(String),
          fastCheck.nat().map(String),
          fastCheck.string(),
        ),
        { minLength: 2, maxLength: 5 },
      ),
      (parts) => {
        const report = readLoad(parts.join(","));
        if (report === undefined) return;
        expect(report.slowdown).toBeGreaterThan(0);
        expect(report.slots).toBeGreaterThan(0);
        for (const number of Object.values(report)) {
          expect(Number.isFinite(number)).toBe(true);
        }
      },
    ),
    { seed: 20_261_205, numRuns: 2_000 },
  );
});
