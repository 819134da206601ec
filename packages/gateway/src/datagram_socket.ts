/**
 * The UDP socket on which entries exchange membership, freshness of discovery
 * state, server loads and crash reports.
 */
import type { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import { splitAddress } from "@marigoldford/kernel/address";
import type { Address } from "@marigoldford/kernel/types";
import {
  decodeDatagram,
  encodeDatagram,
  type FleetDatagram,
  type MessageUnreadable,
} from "./fleet_messages.ts";
import type { OnSent } from "./traffic_meter.ts";

export type DatagramSocketOptions = {
  readonly address: Address;
  readonly onDatagram: (datagram: FleetDatagram, sender: Address) => void;
  readonly onUnreadable: (sender: Address, error: MessageUnreadable) => void;
  readonly onSendFailure: (to: Address) => void;
  readonly onSent?: OnSent;
};

export class DatagramSocket {
  readonly #options: DatagramSocketOptions;
  readonly #socket: Socket;

  constructor(options: DatagramSocketOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (bytes, { address, port }) => {
      const sender = `${address}:${port}`;
      const onUnreadable = ({ detail }: { readonly detail: string }) =>
        options.onUnreadable(sender, { kind: "message-unreadable", detail });
      decodeDatagram(bytes, onUnreadable).match(
        (datagram) => options.onDatagram(datagram, sender),
        onUnreadable,
      );
    });
    this.#socket.on("error", () => options.onSendFailure(options.address));
  }

  open(): Promise<void> {
    const { host, port } = splitAddress(this.#options.address);
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind({ address: host, port, exclusive: true }, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
  }

  /** Sends to each address; later datagrams make up for a lost one. */
  send(to: readonly Address[], datagram: FleetDatagram): void {
    if (to.length === 0) return;
    const bytes = encodeDatagram(datagram);
    for (const address of to) {
      this.#sendTo(address, bytes);
      this.#options.onSent?.(datagram.kind, address, bytes.byteLength);
    }
  }

  #sendTo(address: Address, bytes: Buffer): void {
    const { host, port } = splitAddress(address);
    const { onSendFailure } = this.#options;
    try {
      this.#socket.send(bytes, port, host, (error) => {
        if (error !== null) onSendFailure(address);
      });
    } catch {
      // Node refuses an impossible port at once.
      onSendFailure(address);
    }
  }

  close(): void {
    this.#socket.close();
  }
}
