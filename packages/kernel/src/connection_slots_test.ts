/**
 * Tests which connection is closed when a server has too many.
 */
import { expect, it } from "vitest";
import { ConnectionSlots } from "./connection_slots.ts";

it("the connection that is idle longest is closed, never a busy one", () => {
  const slots = new ConnectionSlots<string>(3);
  for (const name of ["a", "b", "c"]) expect(slots.add(name)).toBeUndefined();
  slots.markBusy("a");
  slots.markBusy("b");
  slots.markIdle("b");
  expect(slots.add("d")).toBe("c");
  expect(slots.add("e")).toBe("b");
  slots.markBusy("d");
  slots.markBusy("e");
  expect(slots.add("f")).toBe("f");
  slots.remove("a");
  expect(slots.add("f")).toBeUndefined();
});

// Guards against: callers whose bodies do not come keep others out.
it("the caller that is latest gives way before idle connections", () => {
  const late = new Map([["a", 1_500], ["b", 4_000], ["c", 900]]);
  const slots = new ConnectionSlots<string>(
    4,
    (name) => late.get(name) ?? 0,
  );
  for (const name of ["a", "b", "c", "d"]) slots.add(name);
  for (const name of ["a", "b", "c"]) slots.markBusy(name);
  expect(slots.add("e")).toBe("b");
  expect(slots.add("f")).toBe("a");
  expect(slots.add("g")).toBe("d");
});
