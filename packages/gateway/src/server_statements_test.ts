/**
 * Tests that what a peer tells of a server counts from when the server said it,
 * also if the message waited on its way.
 */
import { expect, it } from "vitest";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import { MessageClock } from "./message_clock.ts";
import { GatewayMetrics } from "./metrics.ts";
import { ServerStatements } from "./server_statements.ts";

const RUN = { id: "server", bornAtMilliseconds: 1 };

it("a statement of a peer that waited on its way does not replace a later one of the server", () => {
  let now = 10_000;
  const clock = () => now;
  const peerClock = new MessageClock("peer", clock);
  let limit: number | "none" = "none";
  const statements = new ServerStatements({
    self: "self",
    failureDomain: "a",
    clock,
    messageClock: new MessageClock("self", clock),
    random: () => 0.5,
    protocol: {
      readStatement: () => ({
        statement: { requestLimit: limit },
        malformed: [],
      }),
    } as unknown as ConstructorParameters<
      typeof ServerStatements
    >[0]["protocol"],
    socket: { send: () => {} },
    peers: () => [],
    members: () => [],
    metrics: new GatewayMetrics(),
    writeEvent: () => {},
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
  const server = { registration: RUN } as unknown as ServerLoad;
  statements.recordAnswer(server, {}, "answer");
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
