/**
 * Tests that what a peer of another failure domain does not reach is known to
 * the whole domain of a relay, and that its copies are not forwarded again.
 */
import { expect, it } from "vitest";
import type { FleetDatagram } from "./fleet_messages.ts";
import { PeerForwarder, type PeerForwarderOptions } from "./peer_forwarder.ts";

function makePeer(incarnation: string, failureDomain: string) {
  return {
    incarnation,
    callAddress: `${incarnation}:80`,
    meshAddress: `${incarnation}:81`,
    datagramAddress: `${incarnation}:82`,
    failureDomain,
    state: "serving" as const,
    counter: 1,
  };
}

it("a relay forwards which services a peer does not reach", () => {
  const sent: [readonly string[], FleetDatagram][] = [];
  const forwarder = new PeerForwarder({
    failureDomain: "a",
    clock: () => 0,
    peers: () => [makePeer("1", "a"), makePeer("2", "a"), makePeer("3", "b")],
    socket: { send: (to, datagram) => void sent.push([to, datagram]) },
  } as Partial<PeerForwarderOptions> as PeerForwarderOptions);
  const told = { kind: "reach", from: "3", unreached: ["web"] } as const;
  forwarder.receive({ ...told, isForDomain: true });
  expect(sent).toEqual([[["1:82", "2:82"], told]]);
  forwarder.receive(told);
  expect(sent).toHaveLength(1);
});
