import { describe, expect, test } from "vitest";
import { AdoptedTables } from "./adopted_tables.ts";
import {
  type IdempotencyKey,
  mintKey,
  parseIdempotencyKey,
} from "./idempotency_key.ts";
import { ProtectedCallTable } from "./protected_call_table.ts";

const OWNER = "0123456789abcdef0123456789abcdef";

function makeTable(maximumKeys = 10) {
  const time = { now: 0 };
  const table = new ProtectedCallTable({
    incarnation: OWNER,
    clock: () => time.now,
    keyLifetimeMilliseconds: 1_000,
    maximumKeys,
    maximumBytes: 100_000,
    maximumAnswerBytes: 10,
  });
  return { table, time };
}

function keyOf(table: ProtectedCallTable, unique: string): IdempotencyKey {
  return parseIdempotencyKey(mintKey(table.keyPrefix(), unique))
    ._unsafeUnwrap();
}

function answer(size: number) {
  const body = new Uint8Array(size);
  return {
    kind: "answered",
    answer: { status: 200, contentType: "", body },
  } as const;
}

describe("protected call table", () => {
  test("runs a key once and replays its answer", () => {
    const { table } = makeTable();
    const key = keyOf(table, "a");
    expect(table.begin(key, "x")._unsafeUnwrap().kind).toBe("run");
    expect(table.begin(key, "x")._unsafeUnwrap().kind).toBe("join");
    table.finish(key.text, answer(3));
    expect(table.begin(key, "x")._unsafeUnwrap().kind).toBe("replay");
  });

  test("refuses the same key with other content", () => {
    const { table } = makeTable();
    const key = keyOf(table, "a");
    table.begin(key, "x");
    expect(table.begin(key, "y")._unsafeUnwrapErr().kind)
      .toBe("content-mismatch");
  });

  test("never runs a key after it was refused as not run", () => {
    const { table } = makeTable();
    const key = keyOf(table, "a");
    table.begin(key, "x");
    table.finish(key.text, { kind: "not-run" });
    expect(table.begin(key, "x")._unsafeUnwrap())
      .toEqual({ kind: "settled", state: "closed" });
  });

  test("a full table closes the keys that it refuses", () => {
    const { table, time } = makeTable(1);
    const first = keyOf(table, "a");
    const second = keyOf(table, "b");
    table.begin(first, "x");
    table.finish(first.text, answer(1));
    expect(table.begin(second, "x")._unsafeUnwrapErr().kind)
      .toBe("table-full");
    time.now = 1_001;
    table.dropExpired();
    expect(table.keyCount).toBe(0);
    const third = keyOf(table, "c");
    expect(table.begin(third, "x")._unsafeUnwrap().kind).toBe("run");
    // Before the expiry of the second key, so that only its closing refuses it.
    time.now = 900;
    expect(table.begin(second, "x")._unsafeUnwrap())
      .toEqual({ kind: "settled", state: "closed" });
  });

  test("never runs an expired key or a key that was never issued", () => {
    const { table, time } = makeTable();
    const key = keyOf(table, "a");
    const forged = { ...key, expiresAtMilliseconds: 99_999 };
    expect(table.begin(forged, "x")._unsafeUnwrapErr().kind)
      .toBe("key-not-issued");
    time.now = 5_000;
    expect(table.begin(key, "x")._unsafeUnwrapErr().kind).toBe("key-expired");
  });

  test("stores no answer above the limit, and never runs its key again", () => {
    const { table } = makeTable();
    const key = keyOf(table, "a");
    table.begin(key, "x");
    table.finish(key.text, answer(11));
    expect(table.begin(key, "x")._unsafeUnwrap())
      .toEqual({ kind: "settled", state: "answer-not-kept" });
  });

  test("a permanently closed table refuses keys issued later", () => {
    const { table } = makeTable();
    table.closePermanently();
    const late = keyOf(table, "late");
    expect(table.begin(late, "x")._unsafeUnwrap())
      .toEqual({ kind: "settled", state: "closed" });
  });
});

describe("adopted tables", () => {
  test("a key dropped before the hand-over is not reported as not run", () => {
    const { table, time } = makeTable();
    const key = keyOf(table, "a");
    table.begin(key, "x");
    table.finish(key.text, answer(1));
    time.now = 2_000;
    table.dropExpired();
    table.closePermanently();
    const adopted = new AdoptedTables({
      clock: () => 7,
      retentionMilliseconds: 1_000,
      maximumRecords: 10,
    });
    adopted.accept({
      leaver: OWNER,
      index: 0,
      isLast: true,
      leaverNowMilliseconds: time.now,
      records: table.records(),
    });
    expect(adopted.decide(OWNER, { key, contentDigest: "x" }).kind)
      .toBe("key-expired");
  });

  test("decides on unrecorded keys only after every part has arrived", () => {
    const { table } = makeTable();
    const key = keyOf(table, "a");
    const adopted = new AdoptedTables({
      clock: () => 0,
      retentionMilliseconds: 1_000,
      maximumRecords: 10,
    });
    const part = {
      leaver: OWNER,
      leaverNowMilliseconds: 0,
      records: [],
    };
    adopted.accept({ ...part, index: 1, isLast: true });
    expect(adopted.decide(OWNER, { key, contentDigest: "x" }).kind)
      .toBe("incomplete");
    adopted.accept({ ...part, index: 0, isLast: false });
    expect(adopted.decide(OWNER, { key, contentDigest: "x" }).kind)
      .toBe("never-seen");
  });
});
