/**
 * Framed TCP connections between entries, opened when first needed.
 *
 * A connection that stays silent for longer than the bound is destroyed, as
 * something between its ends may have lost track of it.
 */
import type { Buffer } from "node:buffer";
import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { splitAddress } from "@marigoldford/kernel/address";
import type { Address } from "@marigoldford/kernel/types";
import { encodeFrame, FrameDecoder } from "@marigoldford/mesh/frame";
import {
  decodeFleetFrame,
  encodeFleetMessage,
  type FleetFrame,
} from "./fleet_messages.ts";
import { listenAt } from "./listen.ts";

export type FrameReply = (frame: FleetFrame) => void;

export type FrameConnectionsOptions = {
  readonly listenAddress: Address;
  readonly silenceMilliseconds: number;
  readonly onFrame: (frame: FleetFrame, reply: FrameReply) => void;
  readonly onRefused: (peer: string, detail: string) => void;
};

/** Bytes that wait for a slow peer; beyond it the connection is given up. */
const MOST_WAITING_BYTES = 8 * 1024 * 1024;

export class FrameConnections {
  readonly #options: FrameConnectionsOptions;
  readonly #links = new Map<Address, Socket>();
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

  send(to: Address, frame: FleetFrame): void {
    this.#write(this.#linkTo(to), frame);
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#links.values()) socket.destroy();
    for (const socket of this.#accepted) socket.destroy();
  }

  #linkTo(address: Address): Socket {
    const known = this.#links.get(address);
    if (known !== undefined && !known.destroyed) return known;
    const { host, port } = splitAddress(address);
    const socket = createConnection({ host, port });
    this.#links.set(address, socket);
    socket.on("close", () => {
      if (this.#links.get(address) === socket) this.#links.delete(address);
    });
    this.#attach(socket);
    return socket;
  }

  #attach(socket: Socket): void {
    const decoder = new FrameDecoder();
    socket.setNoDelay(true);
    socket.setTimeout(
      this.#options.silenceMilliseconds,
      () => socket.destroy(),
    );
    socket.on("error", () => socket.destroy());
    socket.on("data", (chunk: Buffer) => {
      const payloads = decoder.push(chunk);
      if (payloads.isErr()) return this.#refuse(socket, payloads.error.kind);
      for (const payload of payloads.value) {
        const frame = decodeFleetFrame(payload);
        if (frame.isErr()) return this.#refuse(socket, frame.error.detail);
        this.#options.onFrame(
          frame.value,
          (reply) => this.#write(socket, reply),
        );
      }
    });
  }

  #refuse(socket: Socket, detail: string): void {
    this.#options.onRefused(String(socket.remoteAddress), detail);
    socket.destroy();
  }

  #write(socket: Socket, frame: FleetFrame): void {
    if (socket.destroyed) return;
    if (socket.writableLength > MOST_WAITING_BYTES) {
      socket.destroy();
      return;
    }
    socket.write(encodeFrame(encodeFleetMessage(frame)));
  }
}
