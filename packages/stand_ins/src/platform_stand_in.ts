/**
 * Simulates the platform: the configuration service with read and watch, and
 * the instance list, which shows changes after a delay.
 *
 * Tests and the demo change it with `POST /control`. The configuration service
 * has the modes `up`, `down` (connections are closed) and `stale` (answers give
 * the values of the moment when the mode was set). The instance list is served
 * in every mode.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { stopWithParent } from "./stop_with_parent.ts";

type Value = { name: string; version: number; value: string };
type Instance = {
  address: string;
  role: "entry" | "backend-server";
  state: "live" | "leaving";
  failureDomain: string;
  meshAddress?: string;
};
type Mode = "up" | "down" | "stale";

/** A command to `POST /control`. */
export type PlatformCommand =
  | { readonly kind: "publish"; readonly name: string; readonly value: string }
  | { readonly kind: "instance"; readonly instance: Instance }
  | { readonly kind: "remove-instance"; readonly address: string }
  | { readonly kind: "mode"; readonly mode: Mode };

type Snapshot = { readonly version: number; readonly values: Value[] };

const INSTANCE_LIST_LAG_MILLISECONDS = 500;
const MAXIMUM_WAIT_MILLISECONDS = 30_000;
const MAXIMUM_VALUE_BYTES = 1_048_576;

class Platform {
  #version = 0;
  #values = new Map<string, Value>();
  #instances = new Map<string, Instance>();
  #listedInstances: Instance[] = [];
  #mode: Mode = "up";
  #staleSnapshot: Snapshot | undefined;
  #pendingWatches = new Set<() => void>();
  #calls = 0;

  serve(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? "/", "http://platform");
    if (url.pathname === "/control") {
      this.#serveControl(request, response);
      return;
    }
    if (url.pathname === "/calls") {
      sendJson(response, { calls: this.#calls, version: this.#version });
      return;
    }
    this.#calls += 1;
    if (url.pathname === "/instances") {
      sendJson(response, { instances: this.#listedInstances });
      return;
    }
    if (this.#mode === "down") response.destroy();
    else this.#serveValues(url, response);
  }

  #serveValues(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = Number(url.searchParams.get("after") ?? -1);
    const wait = Number(url.searchParams.get("wait") ?? 0);
    const answer = () => {
      if (this.#mode === "down") response.destroy();
      else sendJson(response, this.#snapshot(prefix));
    };
    if (wait <= 0 || this.#snapshot(prefix).version > after) {
      answer();
      return;
    }
    this.#watch(answer, Math.min(wait, MAXIMUM_WAIT_MILLISECONDS));
  }

  #watch(answer: () => void, waitMilliseconds: number): void {
    const finish = () => {
      clearTimeout(timer);
      this.#pendingWatches.delete(finish);
      answer();
    };
    const timer = setTimeout(finish, waitMilliseconds);
    this.#pendingWatches.add(finish);
  }

  #snapshot(prefix: string): Snapshot {
    if (this.#mode === "stale" && this.#staleSnapshot !== undefined) {
      return this.#staleSnapshot;
    }
    const values = [...this.#values.values()]
      .filter(({ name }) => name.startsWith(prefix));
    return { version: this.#version, values };
  }

  async #serveControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let text = "";
    for await (const chunk of request) text += chunk;
    this.#applyCommand(JSON.parse(text) as PlatformCommand);
    sendJson(response, { version: this.#version });
  }

  #applyCommand(command: PlatformCommand): void {
    switch (command.kind) {
      case "publish":
        return this.#publish(command.name, command.value);
      case "instance":
        this.#instances.set(command.instance.address, command.instance);
        return this.#updateInstanceList();
      case "remove-instance":
        this.#instances.delete(command.address);
        return this.#updateInstanceList();
      case "mode":
        return this.#setMode(command.mode);
    }
  }

  #publish(name: string, value: string): void {
    if (value.length > MAXIMUM_VALUE_BYTES) return;
    this.#version += 1;
    this.#values.set(name, { name, value, version: this.#version });
    if (this.#mode === "up") this.#endPendingWatches();
  }

  #setMode(mode: Mode): void {
    if (mode === "stale") this.#staleSnapshot = this.#snapshot("");
    this.#mode = mode;
    this.#endPendingWatches();
  }

  #endPendingWatches(): void {
    for (const finish of [...this.#pendingWatches]) finish();
  }

  #updateInstanceList(): void {
    const instances = [...this.#instances.values()];
    setTimeout(() => {
      this.#listedInstances = instances;
    }, INSTANCE_LIST_LAG_MILLISECONDS);
  }
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.setHeader("Content-Type", "application/json");
  response.end(JSON.stringify(value));
}

const platform = new Platform();
const server = createServer((request, response) =>
  platform.serve(request, response)
);
server.listen(Number(process.argv[2] ?? 0), "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  process.stdout.write(JSON.stringify({ event: "listening", address }) + "\n");
});
stopWithParent();
