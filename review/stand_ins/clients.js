/**
 * Clients of the platform, which send requests and record the answers.
 */
import { Agent, request } from "node:http";

let count = 0;

export class Clients {
  #record;
  #agents = new Map();
  #pending = new Set();
  /** Id of the request that was sent last. */
  lastId = "";

  constructor(record) {
    this.#record = record;
  }

  /** Sends one client attempt; resolves to its end. */
  send(entry, options) {
    const { host, method = "GET", path, deadline = 1_500, body } = options;
    const id = `q${String(++count).padStart(6, "0")}`;
    this.lastId = id;
    const [hostName, port] = entry.front.split(":");
    const agent = this.#agentOf(entry);
    const sentAt = performance.now();
    this.#record("sent", { id, entry: entry.index, method, path });
    const end = new Promise((resolve) => {
      const finish = (outcome) => {
        clearTimeout(timer);
        resolve({ id, entry: entry.index, method, path, sentAt, ...outcome });
      };
      const call = request({
        host: hostName,
        port,
        method,
        path,
        agent,
        headers: {
          Host: host,
          "Request-Id": id,
          "Deadline-Ms": String(deadline),
          ...(body === undefined ? {} : { "Content-Length": body.length }),
        },
      });
      const timer = setTimeout(() => {
        finish({ status: "none" });
        call.destroy();
      }, deadline);
      call.on("error", () => finish({ status: "closed" }));
      call.on("response", (answer) => {
        let bytes = 0;
        answer.on("data", (chunk) => bytes += chunk.length);
        answer.on("error", () => {});
        answer.on("close", () =>
          finish({
            status: answer.complete ? answer.statusCode : "cut",
            headers: answer.headers,
            bytes,
          }));
      });
      call.end(body);
    });
    const recorded = end.then((outcome) => {
      const { status } = outcome;
      const by = outcome.headers?.["response-signature"] ?? "none";
      this.#record("answered", { id, status, signature: by });
      return outcome;
    });
    this.#pending.add(recorded);
    recorded.finally(() => this.#pending.delete(recorded));
    return recorded;
  }

  async settle() {
    await Promise.all(this.#pending);
  }

  close() {
    for (const agent of this.#agents.values()) agent.destroy();
  }

  #agentOf(entry) {
    let agent = this.#agents.get(entry.index);
    if (agent === undefined) {
      // Well below the idle timeout of the configuration.
      agent = new Agent({ keepAlive: true, timeout: 10_000 });
      this.#agents.set(entry.index, agent);
    }
    return agent;
  }
}
