/**
 * Finds requests that crash backend servers, and stops them.
 *
 * A server that refuses connections right after one broke under a request has
 * crashed. Entries tell each other, so that the fleet together counts the
 * servers that a request has taken down.
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
    /** Crashes of different servers after which a request is stopped. */
    readonly crashesToQuarantine: number;
    readonly retentionMilliseconds: number;
    readonly maximumSuspects: number;
  };
  readonly socket: Pick<DatagramSocket, "send">;
  readonly prober: Pick<Prober, "askBriefly">;
  readonly peers: () => readonly MemberRecord[];
  readonly writeEvent: WriteEvent;
};

/** What tells requests apart that are the same but for their ids. */
export type Fingerprint = () => string;

const DIGEST_LENGTH = 16;

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
      this.#quarantine.isQuarantined(digest(fingerprint()));
  }

  /** A request was answered, so it did not crash its server. */
  recordAnswer(fingerprint: Fingerprint): void {
    if (this.#quarantine.size === 0) return;
    this.#quarantine.clearSuspicion(digest(fingerprint()));
  }

  /** A connection broke under a request; resolves when it is known why. */
  async checkForCrash(
    fingerprint: Fingerprint,
    server: ServerLoad,
  ): Promise<void> {
    const { self, socket: port, prober, peers, writeEvent } = this.#options;
    const { id, address } = server.registration;
    const suspect = digest(fingerprint());
    if (await prober.askBriefly(server) !== "failed") return;
    if (!this.#quarantine.record({ fingerprint: suspect, address })) return;
    writeEvent({
      event: "crash-suspected",
      fingerprint: suspect,
      server: id,
      from: "own attempt",
    });
    port.send(peers().map(({ datagramAddress }) => datagramAddress), {
      kind: "crash",
      from: self,
      fingerprint: suspect,
      server: address,
    });
  }

  recordPeerCrash(
    { fingerprint, server }: Extract<FleetDatagram, { kind: "crash" }>,
  ): void {
    this.#quarantine.record({ fingerprint, address: server });
  }
}

function digest(text: string): string {
  return createHash("sha1").update(text).digest("hex").slice(
    0,
    DIGEST_LENGTH,
  );
}
