/**
 * Tests which servers a table holds while failure domains are evacuated.
 */
import { expect, it } from "vitest";
import {
  type DiscoveryChange,
  DiscoveryState,
} from "@marigoldford/kernel/discovery_state";
import { ServerRestrictions } from "@marigoldford/kernel/server_restrictions";
import { ServerTable } from "./server_table.ts";

function setUp() {
  const table = new ServerTable({
    clock: () => 0,
    idleMilliseconds: 1_000,
    maximumSockets: 4,
    takeConnection: () => undefined,
    restrictionsOf: () => new ServerRestrictions(),
  });
  const state = new DiscoveryState({ outageGraceMilliseconds: 2_000 });
  let revision = 0;
  const apply = (change: (revision: number) => DiscoveryChange) => {
    revision += 1;
    state.apply([change(revision)], revision, 0);
    table.sync(state);
    return table.find("one")?.load;
  };
  const register = (sequence: number) =>
    apply((revision) => ({
      kind: "registration",
      revision,
      registration: {
        id: "one",
        service: "web",
        address: "127.0.0.1:80",
        failureDomain: "a",
        slots: 2,
        state: "ready",
        warmUpLeftMilliseconds: 0,
        bornAtMilliseconds: 1_000,
        sequence,
      },
    }));
  const evacuate = (isEvacuated: boolean) =>
    apply((revision) => ({
      kind: "evacuation",
      revision,
      failureDomain: "a",
      isEvacuated,
    }));
  return { register, evacuate };
}

// Guards against: a server that became cold during an evacuation gets requests
// as a warm one until its next registration.
it("a server that comes back counts as cold until something says otherwise", () => {
  const { register, evacuate } = setUp();
  expect(register(1)?.isCold(0)).toBe(false);
  expect(evacuate(true)).toBeUndefined();
  expect(register(2)).toBeUndefined();
  const server = evacuate(false);
  expect(server?.isCold(0)).toBe(true);
  server?.recordHealthCheck(0);
  expect(server?.isCold(0)).toBe(false);
  evacuate(true);
  expect(evacuate(false)?.isCold(0)).toBe(true);
  expect(register(3)?.isCold(0)).toBe(false);
});

it("the end of one evacuation makes no other server cold", () => {
  const { register, evacuate } = setUp();
  evacuate(true);
  evacuate(false);
  expect(register(1)?.isCold(0)).toBe(false);
});
