/**
 * Detects requests that crash backend servers, and quarantines them.
 *
 * If a connection breaks during a request and the server then fails a probe,
 * the request is assumed to have crashed it. Entries report crashes to each
 * other, so that the fleet counts all servers that a request has crashed.
 */
import { createHash } from "node:crypto";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { Quarantine } from "@marigoldford/kernel/quarantine";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { Clock } from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import type { WriteEvent } from "./events.ts";
import type { FleetDatagram } from "./fleet_messages.ts";
import type { Prober } from "./prober.ts";

export type CrashDetectorOptions = {
  readonly self: string;
  readonly clock: Clock;
  readonly settings: {
    /** Crashes of different servers after which a request is quarantined. */
    readonly crashesToQuarantine: number;
    readonly retentionMilliseconds: number;
    readonly maximumSuspects: number;
  };
  readonly socket: Pick<DatagramSocket, "send">;
  readonly prober: Pick<Prober, "probeForRequest">;
  readonly peers: () => readonly MemberRecord[];
  readonly writeEvent: WriteEvent;
};

/** Equal for requests that differ only in their request ids. */
export type Fingerprint = () => string;

const DIGEST_CHARACTERS = 16;

export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #quarantine: Quarantine;

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    const { clock, settings } = options;
    this.#quarantine = new Quarantine({ clock, ...settings });
  }

  /** Whether a request has crashed too many servers to be sent again. */
  isQuarantined(fingerprint: Fingerprint): boolean {
    return this.#quarantine.size > 0 &&
      this.#quarantine.isQuarantined(digestOf(fingerprint()));
  }

  /** A request was answered, so it did not crash its server. */
  recordAnswer(fingerprint: Fingerprint): void {
    if (this.#quarantine.size === 0) return;
    this.#quarantine.clearSuspicion(digestOf(fingerprint()));
  }

  /**
   * Probes the server of a broken connection and records whether it crashed.
   */
  async checkForCrash(
    fingerprint: Fingerprint,
    server: ServerLoad,
  ): Promise<void> {
    const { self, socket, prober, peers, writeEvent } = this.#options;
    const { id, address } = server.registration;
    const digest = digestOf(fingerprint());
    if (await prober.probeForRequest(server) !== "failed") return;
    if (!this.#quarantine.record({ fingerprint: digest, address })) return;
    writeEvent({
      event: "crash-suspected",
      fingerprint: digest,
      server: id,
      from: "own attempt",
    });
    socket.send(peers().map(({ datagramAddress }) => datagramAddress), {
      kind: "crash",
      from: self,
      fingerprint: digest,
      server: address,
    });
  }

  recordPeerCrash(
    { fingerprint, server }: Extract<FleetDatagram, { kind: "crash" }>,
  ): void {
    this.#quarantine.record({ fingerprint, address: server });
  }
}

function digestOf(text: string): string {
  return createHash("sha1").update(text).digest("hex").slice(
    0,
    DIGEST_CHARACTERS,
  );
}
