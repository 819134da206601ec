/**
 * Framed TCP connections between entries, opened on first use.
 *
 * A connection that is idle for too long is destroyed, because a device on
 * its path, such as a firewall, may have dropped its state.
 */
import type { Buffer } from "node:buffer";
import { createServer, type Server, type Socket } from "node:net";
import { splitAddress } from "@marigoldford/kernel/address";
import type { Address } from "@marigoldford/kernel/types";
import { encodeFrame, FrameDecoder } from "@marigoldford/mesh/frame";
import { openConnection } from "@marigoldford/mesh/open_connection";
import {
  decodeFleetFrame,
  encodeFleetFrame,
  type FleetFrame,
} from "./fleet_messages.ts";
import { listenAt } from "./listen.ts";
import type { OnSent } from "./traffic_meter.ts";

export type FrameReply = (frame: FleetFrame) => void;

export type FrameConnectionsOptions = {
  readonly listenAddress: Address;
  readonly idleMilliseconds: number;
  readonly onFrame: (frame: FleetFrame, reply: FrameReply) => void;
  readonly onRefused: (peer: string, detail: string) => void;
  readonly onSent?: OnSent;
};

/** A connection to a slow peer is destroyed when it has more bytes buffered. */
const MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024;

export class FrameConnections {
  readonly #options: FrameConnectionsOptions;
  readonly #opened = new Map<Address, Socket>();
  readonly #accepted = new Set<Socket>();
  readonly #server: Server;

  constructor(options: FrameConnectionsOptions) {
    this.#options = options;
    this.#server = createServer((socket) => {
      this.#accepted.add(socket);
      socket.on("close", () => this.#accepted.delete(socket));
      this.#attach(socket);
    });
  }

  open(): Promise<void> {
    return listenAt(this.#server, this.#options.listenAddress);
  }

  send(to: readonly Address[], frame: FleetFrame): void {
    if (to.length === 0) return;
    const bytes = encodeFrame(encodeFleetFrame(frame));
    for (const address of to) {
      this.#write(this.#connectionTo(address), address, bytes);
    }
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#opened.values()) socket.destroy();
    for (const socket of this.#accepted) socket.destroy();
  }

  #connectionTo(address: Address): Socket {
    const existing = this.#opened.get(address);
    if (existing !== undefined && !existing.destroyed) return existing;
    const { host, port } = splitAddress(address);
    const socket = openConnection({ host, port });
    this.#opened.set(address, socket);
    socket.on("close", () => {
      if (this.#opened.get(address) === socket) this.#opened.delete(address);
    });
    this.#attach(socket);
    return socket;
  }

  #attach(socket: Socket): void {
    const decoder = new FrameDecoder();
    socket.setNoDelay(true);
    socket.setTimeout(
      this.#options.idleMilliseconds,
      () => socket.destroy(),
    );
    socket.on("error", () => socket.destroy());
    socket.on("data", (chunk: Buffer) => {
      const payloads = decoder.push(chunk);
      if (payloads.isErr()) return this.#reject(socket, payloads.error.kind);
      for (const payload of payloads.value) {
        const frame = decodeFleetFrame(
          payload,
          ({ detail }) =>
            this.#options.onRefused(String(socket.remoteAddress), detail),
        );
        if (frame.isErr()) return this.#reject(socket, frame.error.detail);
        this.#options.onFrame(
          frame.value,
          (reply) => {
            const peer = `${socket.remoteAddress}:${socket.remotePort}`;
            this.#write(socket, peer, encodeFrame(encodeFleetFrame(reply)));
          },
        );
      }
    });
  }

  #reject(socket: Socket, detail: string): void {
    this.#options.onRefused(String(socket.remoteAddress), detail);
    socket.destroy();
  }

  #write(socket: Socket, to: Address, bytes: Buffer): void {
    if (socket.destroyed) return;
    if (socket.writableLength > MAXIMUM_BUFFERED_BYTES) {
      socket.destroy();
      return;
    }
    socket.write(bytes);
    this.#options.onSent?.("frame", to, bytes.byteLength);
  }
}
