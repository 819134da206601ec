/**
 * A fleet whose members exchange membership datagrams on a virtual clock.
 * Datagrams are delayed, lost, and not delivered across a partition.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { FleetMembership } from "../fleet_membership.ts";
import { encodeDatagram, type FleetDatagram } from "../fleet_messages.ts";
import type { VirtualClock } from "./virtual_clock.ts";

export const DELIVERY_DELAY_MILLISECONDS = 2;

export type Node = {
  fleet: FleetMembership;
  readonly address: string;
  readonly failureDomain: string;
  /** Members on different sides of a partition do not reach each other. */
  side: number;
  isUp: boolean;
  sent: number;
  bytes: number;
  /** Bytes sent to other failure domains. */
  crossBytes: number;
};

export class SimulatedFleet {
  readonly nodes: Node[] = [];
  readonly #byAddress = new Map<string, Node>();
  readonly #clock: VirtualClock;
  readonly #random: () => number;
  readonly #lossShare: number;

  constructor(
    clock: VirtualClock,
    { size, domains, lossShare }: {
      readonly size: number;
      readonly domains: number;
      readonly lossShare: number;
    },
  ) {
    const generator = xoroshiro128plus(size);
    this.#random = () => uniformFloat64(generator);
    this.#clock = clock;
    this.#lossShare = lossShare;
    for (let index = 0; index < size; index++) {
      const address = addressOf(index);
      const failureDomain = `domain-${index % domains}`;
      const node: Node = {
        fleet: this.#makeMember(address, failureDomain, `run-${index}`),
        address,
        failureDomain,
        side: 0,
        isUp: true,
        sent: 0,
        bytes: 0,
        crossBytes: 0,
      };
      this.nodes.push(node);
      this.#byAddress.set(address, node);
    }
  }

  start(): void {
    for (const { fleet } of this.nodes) {
      fleet.start();
      fleet.enterState("serving");
    }
  }

  stop(): void {
    for (const { fleet } of this.nodes) fleet.stop();
  }

  /** Starts a new process at the address of a member that was killed. */
  restart(node: Node, incarnation: string): void {
    node.fleet.stop();
    node.fleet = this.#makeMember(
      node.address,
      node.failureDomain,
      incarnation,
    );
    node.isUp = true;
    node.fleet.start();
  }

  #makeMember(
    address: string,
    failureDomain: string,
    incarnation: string,
  ): FleetMembership {
    return new FleetMembership({
      clock: () => this.#clock.now,
      random: this.#random,
      self: {
        incarnation,
        callAddress: address,
        meshAddress: address,
        datagramAddress: address,
        failureDomain,
      },
      seeds: () => [addressOf(0), addressOf(1), addressOf(2)],
      socket: { send: (to, datagram) => this.#send(address, to, datagram) },
      discoveryFreshness: () => ({ revision: 1, ageMilliseconds: 0 }),
      evacuations: () => [],
      writeEvent: () => {},
    });
  }

  #send(from: string, to: readonly string[], datagram: FleetDatagram): void {
    const node = this.#byAddress.get(from);
    if (node === undefined || !node.isUp) return;
    const bytes = encodeDatagram(datagram).byteLength;
    node.sent += to.length;
    node.bytes += bytes * to.length;
    const reached: Node[] = [];
    for (const address of to) {
      const receiver = this.#byAddress.get(address);
      if (receiver === undefined) continue;
      if (receiver.failureDomain !== node.failureDomain) {
        node.crossBytes += bytes;
      }
      const isLost = this.#random() < this.#lossShare;
      if (!isLost && receiver.side === node.side) reached.push(receiver);
    }
    if (reached.length === 0) return;
    setTimeout(() => {
      for (const receiver of reached) deliver(receiver, datagram, from);
    }, DELIVERY_DELAY_MILLISECONDS);
  }
}

function deliver(to: Node, datagram: FleetDatagram, from: string): void {
  if (!to.isUp) return;
  if (datagram.kind === "members") to.fleet.receive(datagram, from);
  else if (datagram.kind === "who") to.fleet.sendRecords(datagram, from);
}

function addressOf(index: number): string {
  return `10.0.${index >> 8}.${index & 255}:1`;
}
