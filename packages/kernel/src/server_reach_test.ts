/**
 * Tests that an entry tells a cut from its servers from single failures.
 */
import { beforeEach, describe, expect, it } from "vitest";
import { ServerReach } from "./server_reach.ts";

const SERVICE = "web";
const SERVERS = 10;

let now: number;
let reach: ServerReach;

beforeEach(() => {
  now = 0;
  reach = new ServerReach(() => now);
});

function fail(
  kind: "connection" | "silence",
  ...servers: readonly string[]
): void {
  for (const server of servers) reach.recordFailure(SERVICE, server, kind);
}

const state = (servers = SERVERS) => reach.of(SERVICE, servers);

describe("the reach of a service", () => {
  it("is cut after failures of three servers without an answer", () => {
    fail("silence", "a", "b", "b", "b");
    expect(state()).toBe("reached");
    fail("connection", "c");
    expect(state()).toBe("cut");
    expect(reach.of("other", SERVERS)).toBe("reached");
  });

  it("is not cut if any server answers in between", () => {
    fail("connection", "a", "b");
    reach.recordAnswer(SERVICE);
    fail("silence", "c", "d");
    expect(state()).toBe("reached");
  });

  it("lacks new connections while open ones are answered", () => {
    fail("connection", "a", "b", "c");
    reach.recordAnswer(SERVICE);
    expect(state()).toBe("no-new-connections");
    reach.recordConnection(SERVICE);
    expect(state()).toBe("reached");
  });

  it("of a few servers is cut if all of them fail", () => {
    fail("silence", "a");
    expect(state(1)).toBe("cut");
    expect(state(2)).toBe("reached");
    expect(state(0)).toBe("reached");
  });

  it("forgets failures that are not repeated", () => {
    fail("connection", "a", "b");
    now += 5_001;
    fail("connection", "c");
    expect(state()).toBe("reached");
  });

  it("is suspected until a connection is opened", () => {
    fail("silence", "a");
    expect(reach.suspects()).toEqual([SERVICE]);
    reach.recordConnection(SERVICE);
    expect(reach.suspects()).toEqual([]);
  });
});
