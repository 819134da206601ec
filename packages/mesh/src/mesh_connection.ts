/**
 * One TCP connection to a peer, which sends and receives validated messages.
 *
 * A connection without data for the idle timeout is closed, because a device
 * between the two ends may have dropped its state. Heartbeats keep a healthy
 * connection from becoming idle.
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

type ReplyHandler = (reply: MeshReply | undefined) => void;
type DistributiveOmit<Type, Key extends PropertyKey> = Type extends unknown
  ? Omit<Type, Key>
  : never;

export type MeshRequestContent = DistributiveOmit<MeshRequest, "id">;

/** A connection whose peer reads so slowly that more is unsent is closed. */
const MAXIMUM_QUEUED_BYTES = 16 * 1024 * 1024;
const LOG = new Logger("mesh");

export class MeshConnection {
  /** Whether this entry has sent its own record on the connection. */
  hasSentEntryRecord = false;
  readonly #options: MeshConnectionOptions;
  readonly #decoder = new FrameDecoder();
  readonly #replyHandlers = new Map<number, ReplyHandler>();
  #nextRequestId = 1;
  #peer: string | undefined;

  constructor(options: MeshConnectionOptions) {
    this.#options = options;
    const { socket, idleTimeoutMilliseconds } = options;
    socket.setNoDelay(true);
    socket.setTimeout(idleTimeoutMilliseconds, () => socket.destroy());
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#onClose());
  }

  /** Incarnation of the peer, known after its hello message. */
  get peer(): string | undefined {
    return this.#peer;
  }

  get isOpen(): boolean {
    return !this.#options.socket.destroyed;
  }

  send(message: MeshMessage): void {
    const { socket, traffic } = this.#options;
    if (socket.destroyed) return;
    if (socket.writableLength > MAXIMUM_QUEUED_BYTES) {
      socket.destroy();
      return;
    }
    const frame = encodeFrame(encodeMessage(message));
    traffic.record("sent", { kind: message.kind, bytes: frame.byteLength });
    socket.write(frame);
  }

  /** Sends a request; resolves with its reply, or undefined without one. */
  request(
    content: MeshRequestContent,
    timeoutMilliseconds: number,
  ): Promise<MeshReply | undefined> {
    const id = this.#nextRequestId++;
    return new Promise((resolve) => {
      const timer = setTimeout(() => settle(undefined), timeoutMilliseconds);
      const settle: ReplyHandler = (reply) => {
        clearTimeout(timer);
        this.#replyHandlers.delete(id);
        resolve(reply);
      };
      this.#replyHandlers.set(id, settle);
      if (!this.isOpen) settle(undefined);
      else this.send({ ...content, id } as MeshRequest);
    });
  }

  close(): void {
    this.#options.socket.destroy();
  }

  #receive(chunk: Buffer): void {
    const payloads = this.#decoder.push(chunk);
    if (payloads.isErr()) return this.#refusePeer(payloads.error.kind);
    for (const payload of payloads.value) {
      const message = decodeMessage(payload);
      if (message.isErr()) return this.#refusePeer(message.error.detail);
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
        this.#receiveHello(message);
        return;
      case "sync-reply":
      case "forward-answer":
      case "hand-over-acknowledgement":
        this.#replyHandlers.get(message.id)?.(message);
        return;
      default:
        this.#options.hooks.onMessage(message, this);
    }
  }

  #receiveHello(message: Extract<MeshMessage, { kind: "hello" }>): void {
    if (message.version !== MESH_VERSION) {
      this.#refusePeer(`unsupported mesh version ${message.version}`);
      return;
    }
    this.#peer = message.incarnation;
    this.#options.hooks.onMessage(message, this);
  }

  #refusePeer(why: string): void {
    LOG.write("connection-refused", () => ({ peer: this.#peer, why }));
    this.close();
  }

  #onClose(): void {
    for (const settle of [...this.#replyHandlers.values()]) settle(undefined);
    this.#options.hooks.onClose(this);
  }
}
