/**
 * Proxies before targets that cut some entries off from all of them.
 */
import { connect, createServer } from "node:net";
import { Worker } from "node:worker_threads";

/** The cut of some entries from all targets. */
export class Cut {
  /** What happens to connections of cut entries: `none`, `reset`, `silent`. */
  kind = "none";
  #pids = [];
  #count = 0;
  #waiting = new Map();
  #worker = new Worker(new URL("socket_owner.js", import.meta.url));

  constructor() {
    this.#worker.on("message", ({ number, owned }) => {
      this.#waiting.get(number)(owned);
      this.#waiting.delete(number);
    });
  }

  async begin(kind, entries, gates) {
    this.#pids = entries.map(({ child }) => child.pid);
    const connections = gates.flatMap(({ connections }) => [...connections]);
    const owned = await this.#ask(connections.map(({ near }) => near));
    this.kind = kind;
    connections.forEach((connection, index) => {
      if (owned[index]) cutConnection(connection, kind);
    });
  }

  end() {
    this.kind = "none";
  }

  /** Whether a new connection belongs to a cut entry. */
  async has(socket) {
    return (await this.#ask([socket]))[0];
  }

  close() {
    void this.#worker.terminate();
  }

  #ask(sockets) {
    const connections = sockets.map(({ remotePort, localPort }) =>
      `${remotePort} ${localPort}`
    );
    const number = ++this.#count;
    this.#worker.postMessage({ number, connections, pids: this.#pids });
    return new Promise((resolve) => this.#waiting.set(number, resolve));
  }
}

function cutConnection({ near, far }, kind) {
  if (kind === "reset") {
    near.resetAndDestroy();
    far?.resetAndDestroy();
    return;
  }
  near.unpipe(far);
  far?.unpipe(near);
  near.resume();
  far?.resume();
}

export class Gate {
  #target;
  #cut;
  connections = new Set();
  #server = createServer(
    { pauseOnConnect: true },
    (socket) => this.#accept(socket),
  );

  constructor(target, cut) {
    this.#target = target;
    this.#cut = cut;
  }

  async open(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
    return this.address;
  }

  close() {
    this.#server.close();
    for (const { near, far } of this.connections) {
      near.destroy();
      far?.destroy();
    }
  }

  async #accept(near) {
    near.on("error", () => {});
    if (this.#cut.kind !== "none" && await this.#cut.has(near)) {
      if (this.#cut.kind === "reset") return near.resetAndDestroy();
      const held = { near };
      this.connections.add(held);
      near.on("close", () => this.connections.delete(held));
      return near.resume();
    }
    const [host, port] = this.#target.address.split(":");
    const far = connect({ host, port, noDelay: true });
    far.on("error", () => near.destroy());
    near.setNoDelay(true);
    const connection = { near, far };
    this.connections.add(connection);
    near.on("close", () => {
      this.connections.delete(connection);
      far.destroy();
    });
    far.on("close", () => near.destroy());
    near.pipe(far);
    far.pipe(near);
  }
}
