/**
 * A small TCP relay that can cut or silence what passes through it.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * - `pass`: bytes go through.
 * - `silent`: connections stay open and swallow everything.
 * - `cut`: connections are closed and new ones are refused.
 */
export type RelayMode = "pass" | "silent" | "cut";

export class Relay {
  readonly #server: Server;
  readonly #pairs = new Set<{ near: Socket; far: Socket }>();
  #target: { host: string; port: number } | undefined;
  #mode: RelayMode = "pass";
  #address = "";

  constructor() {
    this.#server = createServer((near) => this.#accept(near));
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

  /** Open connections that are silenced stay so, even in mode `pass`. */
  setMode(mode: RelayMode): void {
    this.#mode = mode;
    for (const { near, far } of this.#pairs) {
      if (mode === "cut") {
        near.destroy();
        far.destroy();
      }
      if (mode === "silent") {
        near.unpipe(far).resume();
        far.unpipe(near).resume();
      }
    }
  }

  close(): void {
    this.setMode("cut");
    this.#server.close();
  }

  #accept(near: Socket): void {
    near.on("error", () => near.destroy());
    if (this.#mode === "cut" || this.#target === undefined) {
      near.destroy();
      return;
    }
    const far = connect(this.#target);
    far.on("error", () => near.destroy());
    const pair = { near, far };
    this.#pairs.add(pair);
    near.once("close", () => {
      this.#pairs.delete(pair);
      far.destroy();
    });
    far.once("close", () => {
      if (this.#mode !== "silent") near.destroy();
    });
    if (this.#mode === "silent") {
      near.resume();
      return;
    }
    near.pipe(far);
    far.pipe(near);
  }
}
