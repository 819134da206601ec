/**
 * A stand-in for the platform's store: range reads, watches and an outage.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const HISTORY_LENGTH = 10_000;

export class Store {
  /** `answering`, `silent` (no answer) or `resetting`. */
  mode = "answering";
  era = 1;
  #items = new Map();
  #events = [];
  #revision = 1;
  #watches = new Set();
  #server = createServer((request, response) => this.#serve(request, response));

  async open(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    const { port } = this.#server.address();
    this.address = `${host}:${port}`;
    return this.address;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(key, value) {
    this.#revision += 1;
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString("base64"),
      revision: this.#revision,
      create_revision: this.#items.get(key)?.create_revision ?? this.#revision,
      lease: 0,
    };
    this.#items.set(key, item);
    this.#publish(item);
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#publish({ key, revision: this.#revision, removed: true });
  }

  /** Cuts waiting watches, as an outage does. */
  setMode(mode) {
    this.mode = mode;
    if (mode === "answering") return;
    for (const { response } of this.#watches) {
      if (mode === "resetting") response.destroy();
    }
    this.#watches.clear();
  }

  #publish(event) {
    this.#events.push(event);
    if (this.#events.length > HISTORY_LENGTH) this.#events.shift();
    if (this.mode !== "answering") return;
    for (const watch of [...this.#watches]) this.#answerWatch(watch);
  }

  #serve(request, response) {
    if (this.mode === "silent") return;
    if (this.mode === "resetting") return void request.socket.resetAndDestroy();
    const url = new URL(request.url, "http://store");
    const prefix = url.searchParams.get("prefix") ?? "";
    if (url.pathname === "/kv-range") {
      const after = url.searchParams.get("after") ?? "";
      const items = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => left.key < right.key ? -1 : 1);
      return this.#write(response, 200, {
        items,
        more_pages: false,
        current_rev: this.#revision,
      });
    }
    if (url.pathname !== "/kv-watch") return this.#write(response, 404, {});
    const after = Number(url.searchParams.get("after"));
    if (after > this.#revision) return this.#write(response, 410, {});
    const watch = { after, response };
    if (this.#events.some(({ revision }) => revision > after)) {
      return this.#answerWatch(watch);
    }
    this.#watches.add(watch);
    response.on("close", () => this.#watches.delete(watch));
    const wait = Number(url.searchParams.get("wait_ms"));
    setTimeout(() => {
      if (this.#watches.has(watch)) this.#answerWatch(watch);
    }, wait);
  }

  #answerWatch(watch) {
    this.#watches.delete(watch);
    this.#write(watch.response, 200, {
      events: this.#events.filter(({ revision }) => revision > watch.after),
      current_rev: this.#revision,
    });
  }

  #write(response, status, body) {
    response.writeHead(status, {
      "content-type": "application/json",
      "store-era": String(this.era),
    });
    response.end(JSON.stringify(body));
  }
}
