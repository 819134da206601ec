/**
 * Tests which requests are served, refused or cost their connection.
 */
import { expect, it } from "vitest";
import { RequestBudget, requestCost } from "./request_budget.ts";

const SMALL = requestCost({ headerLines: 10, headerBytes: 300, bodyBytes: 0 });
const LARGE = requestCost({
  headerLines: 4_000,
  headerBytes: 12_000,
  bodyBytes: 0,
});
const BUDGET_BYTES = 3 * LARGE;
const MAXIMUM_UNANSWERED = 3;

function makeBudget() {
  const budget = new RequestBudget<string>(BUDGET_BYTES);
  const send = (connection: string, cost: number) => {
    const decision = budget.decide(connection, {
      cost,
      headCost: cost,
      maximumUnanswered: MAXIMUM_UNANSWERED,
    });
    if (decision === "serve") budget.add(connection, cost);
    return decision;
  };
  return { budget, send };
}

it("a request that is alone is served, however large", () => {
  const { budget, send } = makeBudget();
  expect(send("a", 10 * BUDGET_BYTES)).toBe("serve");
  expect(budget.connectionToClose()).toBeUndefined();
});

it("small requests fit when large ones use their share", () => {
  const { send } = makeBudget();
  expect(send("a", LARGE)).toBe("serve");
  expect(send("b", LARGE)).toBe("refuse-last");
  expect(send("c", SMALL)).toBe("serve");
});

// Guards against: an upload with an ordinary head counts as one of the large
// requests, and is refused while there is memory for it.
it("a request with a large body fits where a small one does", () => {
  const { budget, send } = makeBudget();
  send("a", LARGE);
  const body = { cost: SMALL + 64 * 1_024, headCost: SMALL };
  const decision = { ...body, maximumUnanswered: MAXIMUM_UNANSWERED };
  expect(budget.decide("b", decision)).toBe("serve");
});

// Guards against: uploads that take all memory from requests without a body.
it("requests with large bodies leave room for small ones", () => {
  const { budget, send } = makeBudget();
  const body = { cost: SMALL + 64 * 1_024, headCost: SMALL };
  const decision = { ...body, maximumUnanswered: MAXIMUM_UNANSWERED };
  for (let count = 0;; count++) {
    if (budget.decide(`upload-${count}`, decision) !== "serve") break;
    budget.add(`upload-${count}`, body.cost);
  }
  expect(budget.heldBytes).toBeGreaterThan(BUDGET_BYTES / 2);
  expect(send("a", SMALL)).toBe("serve");
});

it("too many unanswered requests close the connection", () => {
  const { budget, send } = makeBudget();
  for (let count = 0; count < MAXIMUM_UNANSWERED; count++) {
    expect(send("a", SMALL)).toBe("serve");
  }
  expect(send("a", SMALL)).toBe("close");
  budget.remove("a", SMALL);
  expect(send("a", SMALL)).toBe("serve");
});

it("the connection that holds the most is closed first", () => {
  const { budget, send } = makeBudget();
  send("a", SMALL);
  send("b", SMALL);
  budget.setUnread("b", 2 * BUDGET_BYTES);
  expect(budget.connectionToClose()).toBe("b");
  budget.forget("b");
  expect(budget.connectionToClose()).toBeUndefined();
  expect(budget.heldBytes).toBe(SMALL);
  budget.remove("b", SMALL);
  budget.remove("a", SMALL);
  expect(budget.heldBytes).toBe(0);
});

// Guards against: requests whose bodies are missing count as ordinary, and the
// next request is refused in their favour.
it("a late caller gives way to a request that is alone", () => {
  const { budget, send } = makeBudget();
  send("a", LARGE);
  send("b", SMALL);
  budget.setUnread("a", 0, 500);
  expect(budget.connectionToMakeRoom("c")).toBeUndefined();
  budget.setUnread("a", 0, 5_000);
  expect(budget.connectionToMakeRoom("b")).toBeUndefined();
  expect(budget.connectionToMakeRoom("c")).toBe("a");
});

it("a late caller is closed before one that holds somewhat more", () => {
  const { budget, send } = makeBudget();
  send("a", LARGE);
  send("b", SMALL);
  budget.setUnread("b", 2 * LARGE);
  budget.setUnread("a", LARGE, 5_000);
  expect(budget.connectionToClose()).toBe("a");
  budget.setUnread("b", 20 * LARGE);
  expect(budget.connectionToClose()).toBe("b");
});

// Guards against: memory that counts as free while a closed connection's
// requests still hold it, so that many connections use it at the same time.
it("a connection that is being closed holds its memory until it is forgotten", () => {
  const { budget, send } = makeBudget();
  budget.add("a", 2 * BUDGET_BYTES);
  budget.markClosing("a");
  expect(send("b", SMALL)).toBe("refuse");
  budget.add("b", SMALL);
  expect(budget.connectionToClose("b")).toBeUndefined();
  budget.add("b", SMALL);
  expect(budget.connectionToClose()).toBeUndefined();
  expect(budget.connectionToClose("b")).toBe("b");
  budget.forget("a");
  expect(budget.heldBytes).toBe(2 * SMALL);
});
