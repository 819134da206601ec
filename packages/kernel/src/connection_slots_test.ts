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
