/**
 * Tests that the time which messages wait on their way is seen whatever the
 * offset of the clocks, and never estimated as more than it is.
 */
import fastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import { TransitDelays } from "./transit_delay.ts";

const SEED = 20_261_205;

function setUp(offsetMilliseconds: number) {
  let now = 1_000;
  const delays = new TransitDelays(() => now);
  return {
    delays,
    /** Receives a message after `way` milliseconds. */
    receive: (at: number, way: number, clock = "one") => {
      now = at + way;
      const atMilliseconds = at + offsetMilliseconds;
      return delays.record({ clock, atMilliseconds });
    },
  };
}

describe("the time that a message waited on its way", () => {
  it("is what it takes beyond the fastest message, at any offset", () => {
    const milliseconds = fastCheck.double({
      min: 0,
      max: 5_000,
      noNaN: true,
    });
    fastCheck.assert(
      fastCheck.property(
        fastCheck.double({ min: -1e9, max: 1e9, noNaN: true }),
        fastCheck.array(milliseconds, { minLength: 1, maxLength: 30 }),
        (offset, ways) => {
          const { receive } = setUp(offset);
          receive(0, 1);
          ways.forEach((way, index) => {
            const waited = receive(10 + index, 1 + way);
            expect(waited).toBeCloseTo(way, 3);
          });
        },
      ),
      { seed: SEED },
    );
  });

  it("is 0 for the first message of each clock", () => {
    const { receive } = setUp(0);
    receive(0, 1);
    expect(receive(10, 800, "two")).toBe(0);
    expect(receive(10, 801, "two")).toBe(1);
  });

  it("is seen again a minute after the sender's clock stood still", () => {
    const { delays, receive } = setUp(0);
    receive(0, 1);
    const standstill = 4_000;
    const after = (at: number) => receive(at, 1 + standstill);
    expect(after(1_000)).toBe(standstill);
    for (let at = 2_000; at < 70_000; at += 1_000) after(at);
    expect(after(70_000)).toBe(0);
    expect(receive(71_000, 1 + standstill + 300)).toBe(300);
    delays.expire();
    expect(after(72_000)).toBe(0);
  });
});
