/**
 * A stand-in for a sound backend server (target) of the platform.
 *
 * It runs as many requests at once as it has slots, queues a few more, rejects
 * the others, echoes the id of each request and signs its answers.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const IDLE_TIMEOUT_MILLISECONDS = 10_000;

export class Target {
  id;
  service;
  zone;
  slots;
  workMilliseconds;
  isLeaving = false;
  bodyBytes = 1_500;
  /** Runs by request id: how often a target began to work on it. */
  #runs;
  #record;
  #sequence = 0;
  #running = new Set();
  #queue = [];
  #sockets = new Set();
  #born = Date.now();
  #server = createServer(
    { keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS },
    (request, response) => this.#serve(request, response),
  );

  constructor(options) {
    const { id, service, zone, slots = 6, workMilliseconds = 50 } = options;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMilliseconds = workMilliseconds;
    this.#runs = options.runs;
    this.#record = options.record;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  async open(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
    return this.address;
  }

  /** What the target writes to the store. */
  registration(address = this.address) {
    this.#sequence += 1;
    return {
      address,
      born: this.#born,
      info: {
        service: this.service,
        version: "v1",
        zone: this.zone,
        capacity: this.slots,
      },
      status: {
        state: this.isLeaving ? "draining" : "ready",
        seq: this.#sequence,
        warmup_left_s: 0,
      },
    };
  }

  /** Goes silent: nothing is answered any more, no connection is closed. */
  crash() {
    this.isDark = true;
    for (const { id } of this.#running) {
      this.#record("cut-by-crash", { id, target: this.id });
    }
    this.#running.clear();
    this.#queue = [];
  }

  /** Starts again under the same id and address, with nothing of before. */
  restart() {
    for (const socket of this.#sockets) socket.destroy();
    this.isDark = false;
    this.#born = Date.now();
    this.#sequence = 0;
  }

  /** Ends like a process that exits: open connections are closed. */
  exit() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    for (const { id } of this.#running) {
      this.#record("cut-at-exit", { id, target: this.id });
    }
    this.#running.clear();
    this.hasExited = true;
  }

  get #load() {
    return `${this.#running.size},${this.#queue.length},${this.slots},100`;
  }

  #headers(request) {
    return {
      "Request-Id": request.headers["request-id"],
      "Instance-Load": this.#load,
      ...(this.isLeaving ? { "Server-Leaving": "1" } : {}),
    };
  }

  #answer(response, status, headers, body = "") {
    response.writeHead(status, {
      ...headers,
      "Content-Length": Buffer.byteLength(body),
    });
    response.end(body);
  }

  #serve(request, response) {
    response.sendDate = false;
    if (this.isDark) return;
    if (request.method === "GET" && request.url === "/health") {
      return this.#answer(response, this.isLeaving ? 503 : 200, {
        "Instance-Id": this.id,
        "Instance-Load": this.#load,
        ...(this.isLeaving ? { "Server-Leaving": "1" } : {}),
      });
    }
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      if (!this.isDark) this.#admit(request, response);
    });
  }

  #admit(request, response) {
    const id = request.headers["request-id"];
    const expected = request.headers["expected-instance"];
    if (id === undefined) {
      return this.#answer(response, 400, { "Not-Executed": "1" });
    }
    if (expected !== undefined && expected !== this.id) {
      return this.#answer(response, 421, {
        "Request-Id": id,
        "Instance-Id": this.id,
        "Not-Executed": "1",
      });
    }
    this.#record("reaches", { id, target: this.id, leaving: this.isLeaving });
    this.onArrival?.(id);
    const work = { id, request, response, isGone: false };
    response.on("close", () => {
      work.isGone = true;
      this.#running.delete(work);
      this.#startNext();
    });
    if (this.#running.size < this.slots) this.#run(work);
    else if (this.#queue.length < this.slots) this.#queue.push(work);
    else {
      this.#answer(response, 503, {
        ...this.#headers(request),
        "Not-Executed": "1",
      });
    }
  }

  #startNext() {
    while (this.#queue.length > 0 && this.#running.size < this.slots) {
      const next = this.#queue.shift();
      if (!next.isGone) this.#run(next);
    }
  }

  #run(work) {
    const { id, request, response } = work;
    this.#running.add(work);
    this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
    this.#record("runs", { id, target: this.id });
    if (this.crashesOn?.(request)) {
      this.onCrash(id);
      return;
    }
    const deadline = Number(request.headers["deadline-ms"] ?? Infinity);
    const isLate = deadline < this.workMilliseconds;
    setTimeout(() => {
      if (!this.#running.has(work)) return;
      this.#running.delete(work);
      const signature = `${this.id}.${id}`;
      const headers = {
        ...this.#headers(request),
        "Response-Signature": signature,
      };
      if (isLate) this.#answer(response, 504, headers, "deadline");
      else this.#answer(response, 200, headers, "x".repeat(this.bodyBytes));
      this.#startNext();
    }, Math.min(deadline, this.workMilliseconds));
  }
}
