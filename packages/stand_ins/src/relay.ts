/**
 * A TCP relay that can close or blackhole the connections through it.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * - `pass`: bytes are relayed.
 * - `silent`: connections stay open, and their bytes are discarded.
 * - `cut`: connections are closed, and new ones are closed at once.
 */
export type RelayMode = "pass" | "silent" | "cut";

export class Relay {
  readonly #server: Server;
  readonly #socketPairs = new Set<{ inbound: Socket; outbound: Socket }>();
  #target: { host: string; port: number } | undefined;
  #mode: RelayMode = "pass";
  #address = "";

  constructor() {
    this.#server = createServer((inbound) => this.#accept(inbound));
  }

  get address(): string {
    return this.#address;
  }

  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        const { port } = this.#server.address() as AddressInfo;
        this.#address = `127.0.0.1:${port}`;
        resolve(this.#address);
      });
    });
  }

  setTarget(address: string): void {
    const [host, port] = address.split(":");
    this.#target = { host, port: Number(port) };
  }

  /** A connection that became silent stays silent, even in mode `pass`. */
  setMode(mode: RelayMode): void {
    this.#mode = mode;
    for (const { inbound, outbound } of this.#socketPairs) {
      if (mode === "cut") {
        inbound.destroy();
        outbound.destroy();
      }
      if (mode === "silent") {
        inbound.unpipe(outbound).resume();
        outbound.unpipe(inbound).resume();
      }
    }
  }

  close(): void {
    this.setMode("cut");
    this.#server.close();
  }

  #accept(inbound: Socket): void {
    inbound.on("error", () => inbound.destroy());
    if (this.#mode === "cut" || this.#target === undefined) {
      inbound.destroy();
      return;
    }
    const outbound = connect(this.#target);
    outbound.on("error", () => inbound.destroy());
    const pair = { inbound, outbound };
    this.#socketPairs.add(pair);
    inbound.once("close", () => {
      this.#socketPairs.delete(pair);
      outbound.destroy();
    });
    outbound.once("close", () => {
      if (this.#mode !== "silent") inbound.destroy();
    });
    if (this.#mode === "silent") {
      inbound.resume();
      return;
    }
    inbound.pipe(outbound);
    outbound.pipe(inbound);
  }
}
