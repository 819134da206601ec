/**
 * Tests what entries tell each other of servers: that it counts from when the
 * server said it, also if the message waited on its way, and that it reaches
 * entries that start later or run the build before.
 */
import { expect, it, vi } from "vitest";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { ServerStatement } from "@marigoldford/kernel/server_restrictions";
import type { FleetDatagram, SharedLeaving } from "./fleet_messages.ts";
import { MessageClock } from "./message_clock.ts";
import { GatewayMetrics } from "./metrics.ts";
import { ServerStatements } from "./server_statements.ts";

const HEAD = { status: 200, headers: {} };
const RUN = { id: "server", bornAtMilliseconds: 1 };

type Options = ConstructorParameters<typeof ServerStatements>[0];

function makeStatements(options: Partial<Options>): ServerStatements {
  const clock = options.clock ?? (() => 0);
  return new ServerStatements({
    self: "self",
    failureDomain: "a",
    clock,
    messageClock: new MessageClock("self", clock),
    random: () => 0.5,
    leavingEffectMilliseconds: 2_000,
    protocol: {} as Options["protocol"],
    socket: { send: () => {} },
    peers: () => [],
    members: () => [],
    metrics: new GatewayMetrics(),
    writeEvent: () => {},
    ...options,
  });
}

function protocolOf(
  statement: () => Partial<ServerStatement>,
): Options["protocol"] {
  const readStatement = () => ({ statement: statement(), malformed: [] });
  return { readStatement } as unknown as Options["protocol"];
}

it("a statement of a peer that waited on its way does not replace a later one of the server", () => {
  let now = 10_000;
  const clock = () => now;
  const peerClock = new MessageClock("peer", clock);
  let limit: number | "none" = "none";
  const statements = makeStatements({
    clock,
    protocol: protocolOf(() => ({ requestLimit: limit })),
  });
  const tell = (requestLimit: number, wayMilliseconds: number) => {
    const datagram = {
      kind: "statements",
      from: "peer",
      departure: peerClock.departure(),
      statements: [{ ...RUN, requestLimit, ageMilliseconds: 0 }],
      isForDomain: false,
    } as const;
    now += wayMilliseconds;
    statements.receive(datagram);
  };
  tell(7, 1);
  expect(statements.restrictionsOf(RUN).requestLimit).toBe(7);
  const departed = peerClock.departure();
  now += 300;
  limit = 3;
  statements.recordAnswer(RUN, HEAD, "answer");
  now += 300;
  statements.receive({
    kind: "statements",
    from: "peer",
    departure: departed,
    statements: [{ ...RUN, requestLimit: 7, ageMilliseconds: 0 }],
    isForDomain: false,
  });
  expect(statements.restrictionsOf(RUN).requestLimit).toBe(3);
  statements.stop();
});

const PEER = {
  incarnation: "peer",
  failureDomain: "a",
  datagramAddress: "127.0.0.1:1",
} as MemberRecord;

// Guards against: an entry that starts while the store is away uses a server
// that says it leaves, as nobody tells the entry.
it("that a server leaves is repeated while the server says so", async () => {
  let now = 10_000;
  const sent: FleetDatagram[] = [];
  const statements = makeStatements({
    clock: () => now,
    protocol: protocolOf(() => ({ requestLimit: "none", isLeaving: true })),
    peers: () => [PEER],
    socket: {
      send: (to, datagram) => {
        if (to.length > 0) sent.push(datagram);
      },
    },
  });
  const leaving = () =>
    sent.flatMap((datagram) =>
      datagram.kind === "statements" ? datagram.leaving ?? [] : []
    );
  statements.recordAnswer(RUN, HEAD, "health-check");
  await vi.waitFor(() => expect(leaving()).toHaveLength(1));
  now += 100;
  statements.recordAnswer(RUN, HEAD, "health-check");
  now += 500;
  statements.recordAnswer(RUN, HEAD, "health-check");
  await vi.waitFor(() => expect(leaving()).toHaveLength(2));
  expect(leaving()[1]).toEqual({ ...RUN, ageMilliseconds: 600 });
  statements.stop();
});

it("a peer of the build before tells limits only, and odd items are left out", () => {
  const statements = makeStatements({ clock: () => 10_000 });
  const limit = { ...RUN, requestLimit: 3, ageMilliseconds: 0 };
  const datagram = {
    kind: "statements",
    from: "peer",
    statements: [limit],
    isForDomain: false,
  } as const;
  statements.receive(datagram);
  const restrictions = statements.restrictionsOf(RUN);
  expect(restrictions.requestLimit).toBe(3);
  expect(restrictions.isLeaving).toBe(false);
  for (const ageMilliseconds of [-1, NaN, Infinity, "1", undefined]) {
    const leaving = [{ ...RUN, ageMilliseconds }, null] as SharedLeaving[];
    statements.receive({ ...datagram, leaving });
  }
  expect(restrictions.isLeaving).toBe(false);
  const leaving = [{ ...RUN, ageMilliseconds: 900 }];
  statements.receive({ ...datagram, statements: [], leaving });
  expect(restrictions.leavingSinceMilliseconds).toBe(9_100);
  statements.stop();
});
