/**
 * Counts the bytes that an entry sends its peers, by kind of message, and those
 * that it exchanges with backend servers, by whether the other end is in the
 * own failure domain. Traffic between failure domains costs the operator money.
 */
import { splitAddress } from "@marigoldford/kernel/address";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { ServerRegistration } from "@marigoldford/kernel/routing_snapshot";
import type { Address, Clock, FailureDomain } from "@marigoldford/kernel/types";
import type { FleetDatagram } from "./fleet_messages.ts";
import type { GatewayMetrics, TrafficDomain } from "./metrics.ts";

export type SentMessage = FleetDatagram["kind"] | "frame";
export type OnSent = (kind: SentMessage, to: Address, bytes: number) => void;
/** What an exchange with a server is for, and its bytes in both directions. */
export type OnTransferred = (
  content: "request" | "probe",
  server: Pick<ServerRegistration, "failureDomain">,
  bytes: number,
) => void;

export type TrafficMeterOptions = {
  readonly clock: Clock;
  readonly failureDomain: FailureDomain;
  readonly peers: () => readonly MemberRecord[];
  readonly metrics: GatewayMetrics;
};

/** Names of messages in the metrics. */
const MESSAGES: Readonly<Record<SentMessage, string>> = {
  members: "membership",
  who: "membership",
  news: "freshness",
  load: "load",
  statements: "statements",
  reach: "reach",
  crash: "crash",
  slots: "slots",
  frame: "discovery",
};
const REFRESH_MILLISECONDS = 1_000;
/** After this an unknown address may be that of a new peer. */
const UNKNOWN_REFRESH_MILLISECONDS = 100;

export class TrafficMeter {
  readonly #options: TrafficMeterOptions;
  /** By address, and by host for connections that peers have opened. */
  #domains = new Map<string, FailureDomain>();
  #refreshedAtMilliseconds = -Infinity;

  constructor(options: TrafficMeterOptions) {
    this.#options = options;
  }

  readonly recordSent: OnSent = (kind, to, bytes) => {
    const domain = this.#domainOf(to);
    this.#options.metrics.recordPeerBytes(MESSAGES[kind], domain, bytes);
  };

  readonly recordTransferred: OnTransferred = (content, server, bytes) => {
    const domain = this.#relation(server.failureDomain);
    this.#options.metrics.recordServerBytes(content, domain, bytes);
  };

  #domainOf(address: Address): TrafficDomain {
    this.#refreshAfter(REFRESH_MILLISECONDS);
    if (this.#find(address) === undefined) {
      this.#refreshAfter(UNKNOWN_REFRESH_MILLISECONDS);
    }
    const domain = this.#find(address);
    return domain === undefined ? "unknown" : this.#relation(domain);
  }

  #find(address: Address): FailureDomain | undefined {
    return this.#domains.get(address) ??
      this.#domains.get(splitAddress(address).host);
  }

  #relation(domain: FailureDomain): TrafficDomain {
    return domain === this.#options.failureDomain ? "own" : "other";
  }

  #refreshAfter(milliseconds: number): void {
    const now = this.#options.clock();
    if (now - this.#refreshedAtMilliseconds <= milliseconds) return;
    this.#refreshedAtMilliseconds = now;
    this.#domains = new Map();
    for (const peer of this.#options.peers()) {
      const { meshAddress, datagramAddress, failureDomain } = peer;
      const { host } = splitAddress(meshAddress);
      for (const name of [meshAddress, datagramAddress, host]) {
        this.#domains.set(name, failureDomain);
      }
    }
  }
}
