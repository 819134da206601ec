/**
 * Stand-in for backend servers: slots with a queue, load reports, drain,
 * shedding, cold start, deadlines, cancellation, stragglers and crashes.
 *
 * One process hosts several backend servers, each on a port of its own, and
 * keeps the ledger that tests compare with: which keys ran, how often, where.
 * `POST /control` changes one backend server; `GET /ledger` reads its ledger.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import process from "node:process";
import {
  type BackendBehaviour,
  DEFAULT_BEHAVIOUR,
  type Ledger,
  type LedgerRow,
} from "./backend_behaviour.ts";
import { stopWithParent } from "./stop_with_parent.ts";

type WaitingCall = { readonly start: () => void; isCancelled: boolean };

class BackendServer {
  readonly #behaviour: BackendBehaviour;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #runs = new Map<string, LedgerRow>();
  readonly #queue: WaitingCall[] = [];
  readonly #history: { at: number; inFlight: number }[] = [];
  readonly #startedAt = performance.now();
  #running = 0;
  #arrivals = 0;
  #refusals = 0;
  #cancelled = 0;
  #crashes = 0;
  #healthPolls = 0;
  #lastArrival = 0;
  #noiseUntil = 0;
  #isNoisy = false;
  #address = "";

  constructor(behaviour: BackendBehaviour) {
    this.#behaviour = behaviour;
    this.#server = createServer((request, response) =>
      this.#serve(request, response)
    );
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  listen(port: number): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(port, "127.0.0.1", () => {
        const { port } = this.#server.address() as AddressInfo;
        this.#address = `127.0.0.1:${port}`;
        resolve(this.#address);
      });
    });
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    response.on("error", () => {});
    const path = request.url ?? "/";
    if (path === "/control") return void this.#control(request, response);
    if (path === "/ledger") return sendJson(response, this.#ledger());
    if (this.#behaviour.isSilent) return;
    if (path === "/health") return this.#serveHealth(response);
    this.#arrivals += 1;
    this.#lastArrival = performance.now();
    const body: string[] = [];
    request.setEncoding("utf8");
    request.on("data", (chunk: string) => body.push(chunk));
    request.once("end", () => this.#admit(request, { response, body }));
  }

  #serveHealth(response: ServerResponse): void {
    this.#healthPolls += 1;
    const { isLeaving, isLeavingQuietly, isHealthMisleading } = this.#behaviour;
    const leaves = isLeavingQuietly || (isLeaving && !isHealthMisleading);
    const state = leaves ? "leaving" : "live";
    response.setHeader("Backend-State", state);
    response.end(state);
  }

  #admit(
    request: IncomingMessage,
    call: { response: ServerResponse; body: string[] },
  ): void {
    const behaviour = this.#behaviour;
    const { response } = call;
    const path = request.url ?? "/";
    if (behaviour.crashOn !== "" && path.includes(behaviour.crashOn)) {
      return this.#crash(request);
    }
    if (behaviour.isLeaving) return this.#refuse(response, "leaving");
    if (Math.random() < behaviour.failShare) {
      response.statusCode = 500;
      this.#signal(response);
      response.end("failed");
      return;
    }
    if (this.#queue.length >= behaviour.queueLength) {
      return this.#refuse(response, "shedding");
    }
    const deadline = Number(
      request.headers["marigoldford-deadline-milliseconds"] ?? Infinity,
    );
    const expiresAt = performance.now() + deadline;
    const waiting: WaitingCall = {
      isCancelled: false,
      start: () => this.#run(request, { response, expiresAt, waiting }),
    };
    response.once("close", () => {
      if (!response.writableFinished) waiting.isCancelled = true;
    });
    this.#queue.push(waiting);
    this.#next();
  }

  #next(): void {
    while (this.#running < this.#behaviour.slots) {
      const waiting = this.#queue.shift();
      if (waiting === undefined) break;
      if (waiting.isCancelled) {
        this.#cancelled += 1;
        continue;
      }
      waiting.start();
    }
    this.#noteHistory();
  }

  #run(
    request: IncomingMessage,
    call: {
      response: ServerResponse;
      expiresAt: number;
      waiting: WaitingCall;
    },
  ): void {
    if (performance.now() >= call.expiresAt) {
      return this.#refuse(call.response, "deadline");
    }
    this.#running += 1;
    this.#record(request);
    setTimeout(() => {
      this.#running -= 1;
      this.#answer(request, call.response);
      this.#next();
    }, this.#serviceTime(request));
  }

  #serviceTime(request: IncomingMessage): number {
    const behaviour = this.#behaviour;
    const url = new URL(request.url ?? "/", "http://backend");
    const asked = Number(url.searchParams.get("milliseconds") ?? 0);
    const base = asked > 0 ? asked : behaviour.serviceMilliseconds;
    const drawn = behaviour.distribution === "fixed"
      ? base
      : -Math.log(1 - Math.random()) * base;
    const age = performance.now() - this.#startedAt;
    const cold = age < behaviour.coldMilliseconds ? behaviour.coldFactor : 1;
    return drawn * behaviour.slowdown * cold * this.#noise();
  }

  /** The factor of the period in which a call begins. */
  #noise(): number {
    const { noisePeriodMilliseconds, noiseShare, noiseFactor } =
      this.#behaviour;
    if (noisePeriodMilliseconds === 0) return 1;
    const now = performance.now();
    if (now >= this.#noiseUntil) {
      this.#noiseUntil = now + noisePeriodMilliseconds;
      this.#isNoisy = Math.random() < noiseShare;
    }
    return this.#isNoisy ? noiseFactor : 1;
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    const { losesAnswers, cutsAnswers } = this.#behaviour;
    if (losesAnswers) {
      request.socket.destroy();
      return;
    }
    const url = new URL(request.url ?? "/", "http://backend");
    const size = Number(url.searchParams.get("bytes") ?? 0);
    const line = JSON.stringify({
      server: this.#address,
      method: request.method,
      path: request.url,
      key: request.headers["idempotency-key"],
    });
    const body = size > 0 ? line.padEnd(size, ".") : line;
    this.#signal(response);
    response.setHeader("Content-Type", "application/json");
    response.setHeader("Content-Length", Buffer.byteLength(body));
    if (cutsAnswers) {
      response.write(body.slice(0, body.length / 2));
      setTimeout(() => request.socket.destroy(), 5);
      return;
    }
    response.end(body);
  }

  #crash(request: IncomingMessage): void {
    this.#crashes += 1;
    this.#record(request);
    for (const socket of this.#sockets) socket.destroy();
  }

  #refuse(response: ServerResponse, cause: string): void {
    this.#refusals += 1;
    response.statusCode = 503;
    response.setHeader("Backend-Not-Run", cause);
    this.#signal(response);
    response.end();
  }

  #signal(response: ServerResponse): void {
    const { isLeaving, isSilentAboutLoad } = this.#behaviour;
    if (isLeaving) response.setHeader("Backend-State", "leaving");
    if (!isSilentAboutLoad) {
      response.setHeader("Backend-Load", this.#reportedLoad());
    }
  }

  #reportedLoad(): number {
    const { isReportMisleading, reportLagMilliseconds } = this.#behaviour;
    if (isReportMisleading) return 0;
    const current = this.#running + this.#queue.length;
    if (reportLagMilliseconds === 0) return current;
    const before = performance.now() - reportLagMilliseconds;
    const old = this.#history.findLast((entry) => entry.at <= before);
    return old?.inFlight ?? 0;
  }

  #noteHistory(): void {
    if (this.#behaviour.reportLagMilliseconds === 0) return;
    const now = performance.now();
    const inFlight = this.#running + this.#queue.length;
    this.#history.push({ at: now, inFlight });
    if (this.#history.length > 10_000) this.#history.splice(0, 5_000);
  }

  #record(request: IncomingMessage): void {
    const key = String(request.headers["idempotency-key"] ?? "");
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const name = key === "" ? `${method} ${path}` : key;
    const count = (this.#runs.get(name)?.count ?? 0) + 1;
    this.#runs.set(name, { key, method, path, count });
  }

  #ledger(): Ledger {
    return {
      address: this.#address,
      runs: [...this.#runs.values()],
      arrivals: this.#arrivals,
      refusals: this.#refusals,
      cancelled: this.#cancelled,
      crashes: this.#crashes,
      healthPolls: this.#healthPolls,
      lastArrivalMilliseconds: this.#lastArrival === 0
        ? Infinity
        : performance.now() - this.#lastArrival,
      openConnections: this.#sockets.size,
    };
  }

  async #control(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let text = "";
    for await (const chunk of request) text += chunk;
    Object.assign(this.#behaviour, JSON.parse(text));
    sendJson(response, { ok: true });
  }
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.setHeader("Content-Type", "application/json");
  response.end(JSON.stringify(value));
}

/** Arguments: a JSON list with the behaviour of each backend server. */
async function main(): Promise<void> {
  const given = JSON.parse(process.argv[2] ?? "[{}]") as Partial<
    BackendBehaviour
  >[];
  const addresses: string[] = [];
  for (const behaviour of given) {
    const server = new BackendServer({ ...DEFAULT_BEHAVIOUR, ...behaviour });
    addresses.push(await server.listen(0));
  }
  const line = { event: "listening", addresses };
  process.stdout.write(JSON.stringify(line) + "\n");
}

stopWithParent();
await main();
