import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { IntentionRow } from "./intention.ts";
import { IntentionStore } from "./intention_store.ts";

const SEED = 20_261_204;

const ROW = fc.record({
  intention: fc.constantFrom("a", "b", "c"),
  revision: fc.integer({ min: 1, max: 4 }),
  digest: fc.constantFrom("p", "q", "r"),
  version: fc.integer({ min: 1, max: 5 }),
}).map(({ intention, revision, digest, version }): IntentionRow => ({
  intention,
  revision,
  digest,
  isWithdrawn: false,
  content: { kind: "retiring", address: "127.0.0.1:1" },
  origin: { valueName: "sheet", platformVersion: version, line: 2 },
}));

function mergedStore(...groups: readonly IntentionRow[][]): IntentionStore {
  const store = new IntentionStore();
  for (const rows of groups) store.merge(rows);
  return store;
}

describe("intention store", () => {
  test("merging does not depend on order, grouping or repetition", () => {
    fc.assert(
      fc.property(fc.array(ROW), fc.array(ROW), (left, right) => {
        const one = mergedStore(left, right);
        const other = mergedStore(right, left, right, left);
        expect(other.rootDigest()).toBe(one.rootDigest());
        const whole = mergedStore([...left, ...right].reverse());
        expect(whole.rootDigest()).toBe(one.rootDigest());
      }),
      { seed: SEED },
    );
  });

  test("exchanging differing buckets makes two stores equal", () => {
    fc.assert(
      fc.property(fc.array(ROW), fc.array(ROW), (left, right) => {
        const [one, other] = [mergedStore(left), mergedStore(right)];
        const rowsOfOther = other.rowsDifferingFrom(one.bucketDigests());
        const rowsOfOne = one.rowsDifferingFrom(other.bucketDigests());
        one.merge(rowsOfOther);
        other.merge(rowsOfOne);
        expect(one.rootDigest()).toBe(other.rootDigest());
      }),
      { seed: SEED },
    );
  });

  test("reports the row that lost to one of the same revision", () => {
    const base = {
      intention: "a",
      revision: 2,
      isWithdrawn: false,
      content: { kind: "retiring", address: "127.0.0.1:1" },
    } as const;
    const origin = { valueName: "sheet", line: 2 };
    const first = {
      ...base,
      digest: "p",
      origin: { ...origin, platformVersion: 5 },
    };
    const second = {
      ...base,
      digest: "q",
      origin: { ...origin, platformVersion: 6 },
    };
    const store = mergedStore([first], [second]);
    expect(store.find("a")).toEqual(first);
    expect(store.refusedRows()).toEqual([
      { row: second, reason: "lost-race", inForce: first },
    ]);
  });
});
