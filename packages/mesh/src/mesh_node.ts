/**
 * All mesh connections of one entry: accepts those of peers and opens one to a
 * peer when a message is first sent to it.
 */
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { splitAddress } from "@marigoldford/kernel/address";
import { MeshConnection } from "./mesh_connection.ts";
import type { MeshRequestContent } from "./mesh_connection.ts";
import { MESH_VERSION, type MeshMessage, type MeshReply } from "./messages.ts";
import { openConnection } from "./open_connection.ts";
import { TrafficCounters } from "./traffic_counters.ts";

export type MeshNodeOptions = {
  readonly incarnation: string;
  readonly listenHost: string;
  readonly listenPort: number;
  readonly idleTimeoutMilliseconds: number;
  readonly connectTimeoutMilliseconds: number;
  readonly onMessage: (
    message: MeshMessage,
    connection: MeshConnection,
  ) => void;
};

export class MeshNode {
  readonly traffic = new TrafficCounters();
  readonly #options: MeshNodeOptions;
  readonly #server: Server;
  readonly #connections = new Set<MeshConnection>();
  readonly #byAddress = new Map<string, MeshConnection>();

  constructor(options: MeshNodeOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#addConnection(socket));
  }

  /** Starts listening; resolves with the port. */
  listen(): Promise<number> {
    const { listenHost, listenPort } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(listenPort, listenHost, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Returns the open connection to a mesh address, or opens one. */
  connectionTo(meshAddress: string): MeshConnection {
    const existing = this.#byAddress.get(meshAddress);
    if (existing !== undefined && existing.isOpen) return existing;
    const connection = this.#addConnection(this.#openSocket(meshAddress));
    this.#byAddress.set(meshAddress, connection);
    return connection;
  }

  send(meshAddress: string, message: MeshMessage): void {
    this.connectionTo(meshAddress).send(message);
  }

  request(
    meshAddress: string,
    exchange: {
      readonly content: MeshRequestContent;
      readonly timeoutMilliseconds: number;
    },
  ): Promise<MeshReply | undefined> {
    return this.connectionTo(meshAddress).request(
      exchange.content,
      exchange.timeoutMilliseconds,
    );
  }

  /** Closes connections that this entry opened to any other address. */
  closeAllExcept(meshAddresses: ReadonlySet<string>): void {
    for (const [address, connection] of this.#byAddress) {
      if (meshAddresses.has(address)) continue;
      connection.close();
      this.#byAddress.delete(address);
    }
  }

  close(): Promise<void> {
    for (const connection of this.#connections) connection.close();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #openSocket(meshAddress: string): Socket {
    const socket = openConnection(splitAddress(meshAddress));
    const timer = setTimeout(() => {
      if (socket.connecting) socket.destroy();
    }, this.#options.connectTimeoutMilliseconds);
    socket.once("connect", () => clearTimeout(timer));
    socket.once("close", () => clearTimeout(timer));
    return socket;
  }

  #addConnection(socket: Socket): MeshConnection {
    const connection = new MeshConnection({
      socket,
      idleTimeoutMilliseconds: this.#options.idleTimeoutMilliseconds,
      traffic: this.traffic,
      hooks: {
        onMessage: this.#options.onMessage,
        onClose: (closed) => this.#removeConnection(closed),
      },
    });
    this.#connections.add(connection);
    connection.send({
      kind: "hello",
      version: MESH_VERSION,
      incarnation: this.#options.incarnation,
    });
    return connection;
  }

  #removeConnection(connection: MeshConnection): void {
    this.#connections.delete(connection);
    for (const [address, known] of this.#byAddress) {
      if (known === connection) this.#byAddress.delete(address);
    }
  }
}
