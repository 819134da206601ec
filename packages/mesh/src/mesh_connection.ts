/**
 * One TCP connection to a peer: frames out, checked messages in.
 *
 * A connection that stays silent longer than the bound is closed, because
 * something between the two ends may have lost track of it. Heartbeats keep
 * a healthy one from being silent.
 */
import type { Socket } from "node:net";
import type { Buffer } from "node:buffer";
import { Logger } from "@marigoldford/logger/logger";
import { decodeMessage, encodeMessage } from "./codec.ts";
import { encodeFrame, FrameDecoder } from "./frame.ts";
import {
  MESH_VERSION,
  type MeshMessage,
  type MeshReply,
  type MeshRequest,
} from "./messages.ts";
import type { TrafficCounters } from "./traffic_counters.ts";

export type MeshConnectionHooks = {
  readonly onMessage: (
    message: MeshMessage,
    connection: MeshConnection,
  ) => void;
  readonly onClose: (connection: MeshConnection) => void;
};

export type MeshConnectionOptions = {
  readonly socket: Socket;
  readonly idleTimeoutMilliseconds: number;
  readonly traffic: TrafficCounters;
  readonly hooks: MeshConnectionHooks;
};

type Waiter = (reply: MeshReply | undefined) => void;
type DistributiveOmit<Type, Key extends PropertyKey> = Type extends unknown
  ? Omit<Type, Key>
  : never;

export type MeshRequestContent = DistributiveOmit<MeshRequest, "id">;

const MOST_QUEUED_BYTES = 16 * 1024 * 1024;
const LOG = new Logger("mesh");

export class MeshConnection {
  /** Whether this entry has described itself on the connection. */
  hasSentEntryRecord = false;
  readonly #options: MeshConnectionOptions;
  readonly #decoder = new FrameDecoder();
  readonly #waiters = new Map<number, Waiter>();
  #nextRequestId = 1;
  #peer: string | undefined;

  constructor(options: MeshConnectionOptions) {
    this.#options = options;
    const { socket, idleTimeoutMilliseconds: silenceMilliseconds } = options;
    socket.setNoDelay(true);
    socket.setTimeout(silenceMilliseconds, () => socket.destroy());
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#onClose());
  }

  /** Incarnation of the peer, once it has said hello. */
  get peer(): string | undefined {
    return this.#peer;
  }

  get isOpen(): boolean {
    return !this.#options.socket.destroyed;
  }

  send(message: MeshMessage): void {
    const { socket, traffic } = this.#options;
    if (socket.destroyed) return;
    if (socket.writableLength > MOST_QUEUED_BYTES) {
      socket.destroy();
      return;
    }
    const frame = encodeFrame(encodeMessage(message));
    traffic.record("sent", { kind: message.kind, bytes: frame.byteLength });
    socket.write(frame);
  }

  /** Sends a request; resolves with the reply, or undefined without one. */
  request(
    content: MeshRequestContent,
    timeoutMilliseconds: number,
  ): Promise<MeshReply | undefined> {
    const id = this.#nextRequestId++;
    return new Promise((resolve) => {
      const timer = setTimeout(() => settle(undefined), timeoutMilliseconds);
      const settle: Waiter = (reply) => {
        clearTimeout(timer);
        this.#waiters.delete(id);
        resolve(reply);
      };
      this.#waiters.set(id, settle);
      if (!this.isOpen) settle(undefined);
      else this.send({ ...content, id } as MeshRequest);
    });
  }

  close(): void {
    this.#options.socket.destroy();
  }

  #receive(chunk: Buffer): void {
    const payloads = this.#decoder.push(chunk);
    if (payloads.isErr()) return this.#refuse(payloads.error.kind);
    for (const payload of payloads.value) {
      const message = decodeMessage(payload);
      if (message.isErr()) return this.#refuse(message.error.detail);
      const bytes = payload.byteLength;
      this.#options.traffic.record("received", {
        kind: message.value.kind,
        bytes,
      });
      this.#dispatch(message.value);
    }
  }

  #dispatch(message: MeshMessage): void {
    switch (message.kind) {
      case "hello":
        this.#noteHello(message);
        return;
      case "sync-reply":
      case "forward-answer":
      case "hand-over-acknowledgement":
        this.#waiters.get(message.id)?.(message);
        return;
      default:
        this.#options.hooks.onMessage(message, this);
    }
  }

  #noteHello(message: Extract<MeshMessage, { kind: "hello" }>): void {
    if (message.version !== MESH_VERSION) {
      this.#refuse(`version ${message.version}`);
      return;
    }
    this.#peer = message.incarnation;
    this.#options.hooks.onMessage(message, this);
  }

  #refuse(why: string): void {
    LOG.write("connection-refused", () => ({ peer: this.#peer, why }));
    this.close();
  }

  #onClose(): void {
    for (const settle of [...this.#waiters.values()]) settle(undefined);
    this.#options.hooks.onClose(this);
  }
}
