/**
 * Simulates backend servers: slots with a queue, load reports, draining, load
 * shedding, cold start, deadlines, cancellation, stragglers and crashes.
 *
 * One process hosts several backend servers, each on a port of its own. Each
 * keeps a ledger of the calls that it ran, which tests compare with the answers
 * of the entries. `POST /control` changes the behaviour of one backend server,
 * and `GET /ledger` reads its ledger.
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

type QueuedCall = { readonly start: () => void; isCancelled: boolean };

const REPEATED_REFUSAL = "HTTP/1.1 503 Service Unavailable\r\n" +
  "Backend-Not-Run: shedding\r\nContent-Length: 0\r\n\r\n";

class BackendServer {
  readonly #behaviour: BackendBehaviour;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #refusedOn = new WeakSet<Socket>();
  readonly #runsByCall = new Map<string, LedgerRow>();
  readonly #queue: QueuedCall[] = [];
  readonly #loadHistory: { at: number; inFlight: number }[] = [];
  readonly #startedAt = performance.now();
  #runningCalls = 0;
  #arrivals = 0;
  #refusals = 0;
  #cancelled = 0;
  #crashes = 0;
  #healthPolls = 0;
  #lastArrivalAt = 0;
  #noisePeriodEndsAt = 0;
  #isPeriodNoisy = false;
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
    if (path === "/control") return void this.#applyControl(request, response);
    if (path === "/ledger") return sendJson(response, this.#buildLedger());
    if (this.#behaviour.isSilent) return;
    if (path === "/health") return this.#serveHealth(response);
    this.#arrivals += 1;
    this.#lastArrivalAt = performance.now();
    const body: string[] = [];
    request.setEncoding("utf8");
    request.on("data", (chunk: string) => body.push(chunk));
    request.once("end", () => this.#admit(request, { response, body }));
  }

  #serveHealth(response: ServerResponse): void {
    this.#healthPolls += 1;
    const { isLeaving, isLeavingQuietly, isHealthMisleading } = this.#behaviour;
    const isReportedLeaving = isLeavingQuietly ||
      (isLeaving && !isHealthMisleading);
    const state = isReportedLeaving ? "leaving" : "live";
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
    if (behaviour.rawStatus !== "") {
      const { rawStatus } = behaviour;
      request.socket.write(
        `HTTP/1.1 ${rawStatus} \r\nContent-Length: 3\r\n\r\nodd`,
      );
      return;
    }
    if (Math.random() < behaviour.failShare) {
      response.statusCode = 500;
      this.#setReportHeaders(response);
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
    const queuedCall: QueuedCall = {
      isCancelled: false,
      start: () => this.#run(request, { response, expiresAt, queuedCall }),
    };
    response.once("close", () => {
      if (!response.writableFinished) queuedCall.isCancelled = true;
    });
    this.#queue.push(queuedCall);
    this.#startQueuedCalls();
  }

  #startQueuedCalls(): void {
    while (this.#runningCalls < this.#behaviour.slots) {
      const queuedCall = this.#queue.shift();
      if (queuedCall === undefined) break;
      if (queuedCall.isCancelled) {
        this.#cancelled += 1;
        continue;
      }
      queuedCall.start();
    }
    this.#recordLoad();
  }

  #run(
    request: IncomingMessage,
    call: {
      response: ServerResponse;
      expiresAt: number;
      queuedCall: QueuedCall;
    },
  ): void {
    if (performance.now() >= call.expiresAt) {
      return this.#refuse(call.response, "deadline");
    }
    this.#runningCalls += 1;
    this.#recordRun(request);
    if (this.#refusedOn.delete(request.socket)) {
      request.socket.write(REPEATED_REFUSAL);
    }
    setTimeout(() => {
      this.#runningCalls -= 1;
      this.#answer(request, call.response);
      this.#startQueuedCalls();
    }, this.#serviceMilliseconds(request));
  }

  #serviceMilliseconds(request: IncomingMessage): number {
    const behaviour = this.#behaviour;
    const url = new URL(request.url ?? "/", "http://backend");
    const requestedMilliseconds = Number(
      url.searchParams.get("milliseconds") ?? 0,
    );
    const meanMilliseconds = requestedMilliseconds > 0
      ? requestedMilliseconds
      : behaviour.serviceMilliseconds;
    const sampledMilliseconds = behaviour.distribution === "fixed"
      ? meanMilliseconds
      : -Math.log(1 - Math.random()) * meanMilliseconds;
    const age = performance.now() - this.#startedAt;
    const coldFactor = age < behaviour.coldMilliseconds
      ? behaviour.coldFactor
      : 1;
    return sampledMilliseconds * behaviour.slowdown * coldFactor *
      this.#noiseFactor();
  }

  /** Factor on the service time of a call that starts now. */
  #noiseFactor(): number {
    const { noisePeriodMilliseconds, noiseShare, noiseFactor } =
      this.#behaviour;
    if (noisePeriodMilliseconds === 0) return 1;
    const now = performance.now();
    if (now >= this.#noisePeriodEndsAt) {
      this.#noisePeriodEndsAt = now + noisePeriodMilliseconds;
      this.#isPeriodNoisy = Math.random() < noiseShare;
    }
    return this.#isPeriodNoisy ? noiseFactor : 1;
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    const { losesAnswers, cutsAnswers, cutsHeads } = this.#behaviour;
    if (cutsHeads) {
      request.socket.end("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nCo");
      return;
    }
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
    this.#setReportHeaders(response);
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
    this.#recordRun(request);
    for (const socket of this.#sockets) socket.destroy();
  }

  #refuse(response: ServerResponse, cause: string): void {
    this.#refusals += 1;
    if (this.#behaviour.repeatsRefusals && response.socket !== null) {
      this.#refusedOn.add(response.socket);
    }
    response.statusCode = 503;
    response.setHeader("Backend-Not-Run", cause);
    this.#setReportHeaders(response);
    response.end();
  }

  #setReportHeaders(response: ServerResponse): void {
    const { isLeaving, isSilentAboutLoad } = this.#behaviour;
    if (isLeaving) response.setHeader("Backend-State", "leaving");
    if (!isSilentAboutLoad) {
      response.setHeader("Backend-Load", this.#reportedLoad());
    }
  }

  #reportedLoad(): number {
    const { isReportMisleading, reportLagMilliseconds } = this.#behaviour;
    if (isReportMisleading) return 0;
    const current = this.#runningCalls + this.#queue.length;
    if (reportLagMilliseconds === 0) return current;
    const reportedAt = performance.now() - reportLagMilliseconds;
    const reported = this.#loadHistory.findLast((entry) =>
      entry.at <= reportedAt
    );
    return reported?.inFlight ?? 0;
  }

  #recordLoad(): void {
    if (this.#behaviour.reportLagMilliseconds === 0) return;
    const now = performance.now();
    const inFlight = this.#runningCalls + this.#queue.length;
    this.#loadHistory.push({ at: now, inFlight });
    if (this.#loadHistory.length > 10_000) this.#loadHistory.splice(0, 5_000);
  }

  #recordRun(request: IncomingMessage): void {
    const key = String(request.headers["idempotency-key"] ?? "");
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const call = key === "" ? `${method} ${path}` : key;
    const count = (this.#runsByCall.get(call)?.count ?? 0) + 1;
    this.#runsByCall.set(call, { key, method, path, count });
  }

  #buildLedger(): Ledger {
    return {
      address: this.#address,
      runs: [...this.#runsByCall.values()],
      arrivals: this.#arrivals,
      refusals: this.#refusals,
      cancelled: this.#cancelled,
      crashes: this.#crashes,
      healthPolls: this.#healthPolls,
      lastArrivalMilliseconds: this.#lastArrivalAt === 0
        ? Infinity
        : performance.now() - this.#lastArrivalAt,
      openConnections: this.#sockets.size,
    };
  }

  async #applyControl(
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

/** The argument is a JSON list with the behaviour of each backend server. */
async function main(): Promise<void> {
  const behaviours = JSON.parse(process.argv[2] ?? "[{}]") as Partial<
    BackendBehaviour
  >[];
  const addresses: string[] = [];
  for (const behaviour of behaviours) {
    const server = new BackendServer({ ...DEFAULT_BEHAVIOUR, ...behaviour });
    addresses.push(await server.listen(0));
  }
  const line = { event: "listening", addresses };
  process.stdout.write(JSON.stringify(line) + "\n");
}

stopWithParent();
await main();
