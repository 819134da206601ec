/**
 * A small deployment on loopback for the scripts of this review: a store,
 * backend servers and entries. The entries are the project's own program,
 * started with the command, the variables and the settings template of the
 * deploy file. The rest follows the users' pages and uses Node alone.
 */
import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer as createHttpServer, request } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../..", import.meta.url));
export const HOST = "shop.example";
export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Appends lines to the record of a case, with the time since its start. */
export class Recorder {
  #path;
  #startedAt = performance.now();

  constructor(folder) {
    this.#path = join(folder, "record.txt");
    writeFileSync(this.#path, "");
  }

  write(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.#path, `${seconds.padStart(8)} ${text}\n`);
  }
}

/** The platform's store: range reads and watches. */
export class Store {
  #items = new Map();
  #events = [];
  #revision = 1;
  #watches = new Set();
  #server = createHttpServer((call, response) => this.#serve(call, response));

  async open() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
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
    this.#revision += 1;
    this.#items.delete(key);
    this.#publish({ key, revision: this.#revision, removed: true });
  }

  #publish(event) {
    this.#events.push(event);
    for (const watch of [...this.#watches]) this.#answer(watch);
  }

  #serve(call, response) {
    const url = new URL(call.url, "http://store");
    const prefix = url.searchParams.get("prefix") ?? "";
    if (url.pathname === "/kv-range") {
      const after = url.searchParams.get("after") ?? "";
      const items = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => left.key < right.key ? -1 : 1);
      return this.#write(response, {
        items: items.slice(0, 500),
        more_pages: items.length > 500,
        current_rev: this.#revision,
      });
    }
    if (url.pathname !== "/kv-watch") return response.writeHead(404).end();
    const watch = {
      after: Number(url.searchParams.get("after")),
      prefix,
      response,
    };
    this.#watches.add(watch);
    response.on("close", () => this.#watches.delete(watch));
    if (this.#events.some(({ revision }) => revision > watch.after)) {
      return this.#answer(watch);
    }
    const wait = Number(url.searchParams.get("wait_ms"));
    setTimeout(() => this.#answer(watch), wait).unref();
  }

  #answer(watch) {
    if (!this.#watches.delete(watch)) return;
    this.#write(watch.response, {
      events: this.#events.filter(({ revision, key }) =>
        revision > watch.after && key.startsWith(watch.prefix)
      ),
      current_rev: this.#revision,
    });
  }

  #write(response, body) {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  }
}

/**
 * A backend server with slots: it runs a request for `workMilliseconds` and
 * answers it completely, with its signature.
 */
export class Server {
  /** Requests that it began to run: id, method, path, time. */
  runs = [];
  running = 0;
  waiting = [];
  bornAt = Date.now();
  #sequence = 0;

  constructor(id, options = {}) {
    this.id = id;
    this.options = {
      service: "web",
      zone: "zone-a",
      slots: 6,
      queue: 12,
      workMilliseconds: 20,
      onRun: () => {},
      /** Makes the body of an answer. */
      bodyFor: (id) => `answer to ${id}`,
      /** Whether answers are sent in chunks, without a declared length. */
      isChunked: false,
      /** Bytes after which an answer breaks off; undefined for a whole one. */
      breaksAfter: () => undefined,
      ...options,
    };
    this.http = createHttpServer((call, response) =>
      this.#serve(call, response)
    );
    this.http.keepAliveTimeout = 10_000;
  }

  async open(store) {
    this.store = store;
    await new Promise((resolve) => this.http.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.http.address().port}`;
    this.#register();
    this.heartbeat = setInterval(() => this.#register(), 1_500);
  }

  close() {
    clearInterval(this.heartbeat);
    this.http.close();
    this.http.closeAllConnections();
  }

  #register() {
    this.#sequence += 1;
    const { service, zone, slots } = this.options;
    this.store.put(`servers/${this.id}`, {
      address: this.address,
      born: this.bornAt,
      info: { service, version: "v1", zone, capacity: slots },
      status: { state: "ready", seq: this.#sequence, warmup_left_s: 0 },
    });
  }

  get load() {
    return `${this.running},${this.waiting.length},${this.options.slots},100`;
  }

  #serve(call, response) {
    response.sendDate = false;
    if (call.url === "/health") {
      response.writeHead(200, {
        "Instance-Id": this.id,
        "Instance-Load": this.load,
        "Content-Length": 0,
      });
      return response.end();
    }
    const id = call.headers["request-id"] ?? "";
    const echo = { "Request-Id": id, "Instance-Load": this.load };
    const expected = call.headers["expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Instance-Id": this.id, "Content-Length": 0 });
      return response.end();
    }
    const chunks = [];
    call.on("data", (chunk) => chunks.push(chunk));
    call.on("end", () => {
      const job = { call, response, id, echo, body: Buffer.concat(chunks) };
      if (this.running < this.options.slots) return this.#run(job);
      if (this.waiting.length >= this.options.queue) {
        response.writeHead(503, {
          ...echo,
          "Not-Executed": "1",
          "Content-Length": 0,
        });
        return response.end();
      }
      this.waiting.push(job);
    });
  }

  #run({ call, response, id, echo, body }) {
    if (response.destroyed) return this.#next();
    this.running += 1;
    const { method, url } = call;
    const run = { id, method, path: url, body: body.toString("latin1") };
    this.runs.push(run);
    this.options.onRun(run);
    let hasEnded = false;
    const end = () => {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(timer);
      this.running -= 1;
      this.#next();
    };
    const timer = setTimeout(() => {
      const text = this.options.bodyFor(id);
      const { isChunked } = this.options;
      const breaksAfter = this.options.breaksAfter(id);
      response.writeHead(200, {
        ...echo,
        "Response-Signature": `signed-${id}`,
        ...(isChunked ? {} : { "Content-Length": text.length }),
      });
      if (breaksAfter === undefined) response.end(text);
      else {
        response.write(text.slice(0, breaksAfter));
        // The bytes must have left before the connection is closed.
        setTimeout(() => response.destroy(), 100);
      }
      end();
    }, this.options.workMilliseconds);
    response.on("close", end);
  }

  #next() {
    const job = this.waiting.shift();
    if (job !== undefined) this.#run(job);
  }
}

/** A configuration as the operator writes it. */
export function configuration(version, routes, limits = {}) {
  return {
    version,
    resources: [
      ...routes.map(({ name, ...spec }) => ({
        type: "routes",
        metadata: { name },
        spec: {
          host: HOST,
          slo_s: 0.3,
          priority: 1,
          service: "web",
          max_attempts: 2,
          ...spec,
        },
      })),
      {
        type: "services",
        metadata: { name: "web" },
        spec: {
          health_check: "/health",
          max_conns: 220,
          protocol: "h1",
          tls: false,
        },
      },
      {
        type: "limits",
        metadata: {},
        spec: {
          max_header_bytes: 16384,
          max_body_bytes: 67108864,
          header_timeout_s: 3,
          idle_timeout_s: 15,
          ...limits,
        },
      },
    ],
  };
}

/** Ports that are free at the same time. */
async function freePorts(host, count) {
  const servers = Array.from({ length: count }, () => createTcpServer());
  for (const server of servers) {
    await new Promise((resolve) => server.listen(0, host, resolve));
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) {
    await new Promise((resolve) => server.close(resolve));
  }
  return ports;
}

function valueAt(fields, path) {
  return path.split(".").reduce((value, key) => value?.[key], fields);
}

/** Fills in placeholders as the platform does; sections are not needed. */
function render(template, fields) {
  return template.replaceAll(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_, path, isJson) => {
      const value = valueAt(fields, path);
      return isJson ? JSON.stringify(value) : String(value ?? "");
    },
  );
}

/** The command, the variables and the template that the deploy file names. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const role = text.slice(text.indexOf("[roles."));
  const textOf = (name) =>
    new RegExp(`^${name} = "(.*)"$`, "m").exec(role)?.[1];
  const variables = /^env = \{(.*)\}$/m.exec(role)?.[1] ?? "";
  return {
    run: textOf("run"),
    template: textOf("template"),
    variables: [...variables.matchAll(/(\w+) = "([^"]*)"/g)].map((
      [, name, value],
    ) => [name, value]),
  };
}

const children = new Set();
// Also where a script fails or is stopped, no process of it lives on.
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const name of ["SIGINT", "SIGTERM", "SIGHUP"]) {
  process.on(name, () => process.exit(2));
}

/** One process of the project, on a loopback address of its own. */
export class Entry {
  output = "";

  constructor(name, { ip, zone = "zone-a" }) {
    this.name = name;
    this.ip = ip;
    this.zone = zone;
  }

  start(
    { store, seeds, ports, bounds = {}, memory = 350, descriptors = 4100 },
  ) {
    this.ports = ports;
    const at = (port) => `${this.ip}:${port}`;
    this.callAddress = at(ports.front);
    const fields = {
      node_name: this.name,
      zone: this.zone,
      ip: this.ip,
      listen: {
        front: at(ports.front),
        readiness: at(ports.readiness),
        control: at(ports.control),
        directory: at(ports.directory),
      },
      port_range: [ports.first, ports.first + 1],
      seeds,
      platform: { address: store.address },
      limits: { memory_mb: memory, max_fds: descriptors },
      bounds: {
        grace_s: 6,
        config_apply_s: 2,
        drain_s: 2,
        ttl_max_s: 5,
        retry_budget_ratio: 0.2,
        retry_budget_slack: 56,
        retry_window_s: 10,
        probes_per_s: 60,
        ...bounds,
      },
    };
    const deploy = readDeployFile();
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    const settings = join(this.folder, "node.json");
    const template = readFileSync(join(ROOT, deploy.template), "utf8");
    writeFileSync(settings, render(template, fields));
    const [program, ...words] = deploy.run.split(" ");
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        MARIGOLDFORD_BOOT: settings,
        ...Object.fromEntries(
          deploy.variables.map(([name, text]) => [name, render(text, fields)]),
        ),
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const { child } = this;
    children.add(child);
    child.once("exit", () => children.delete(child));
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream.on("data", (chunk) => this.output += chunk);
    }
    this.ended = new Promise((resolve) =>
      this.child.once("exit", (code, signal) => {
        this.exit = code ?? signal;
        resolve(this.exit);
      })
    );
  }

  /** Asks for readiness as the platform does; undefined without an answer. */
  readiness(timeoutMilliseconds = 1_000) {
    return new Promise((resolve) => {
      const call = request({
        host: this.ip,
        port: this.ports.readiness,
        path: "/readiness",
        agent: false,
      }, (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      });
      call.setTimeout(timeoutMilliseconds, () => call.destroy());
      call.on("error", () => resolve(undefined));
      call.on("close", () => resolve(undefined));
      call.end();
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  async stop() {
    if (this.exit === undefined) {
      this.child.kill("SIGCONT");
      this.child.kill("SIGKILL");
    }
    await this.ended;
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Starts a store, servers and entries, and waits until all are ready. */
export async function startDeployment({
  servers,
  entries = 1,
  config,
  entryOptions = {},
}) {
  const store = new Store();
  await store.open();
  store.put("op/config", config);
  for (const server of servers) await server.open(store);
  // Scripts that run at the same time use different addresses, as the deploy
  // file fixes the port of the metrics.
  const network = `127.${randomInt(1, 255)}.${randomInt(0, 255)}`;
  const [front, readiness, control, directory, next] = await freePorts(
    `${network}.41`,
    5,
  );
  // The settings name a range, of which the second port takes TCP.
  const ports = { front, readiness, control, directory, first: next - 1 };
  const all = Array.from(
    { length: entries },
    (_, index) =>
      new Entry(`entry-${index + 1}`, {
        ip: `${network}.${41 + index}`,
        zone: index % 2 === 0 ? "zone-a" : "zone-b",
      }),
  );
  const seeds = all.slice(0, 3).map(({ ip }) => `${ip}:${ports.control}`);
  for (const entry of all) {
    entry.start({ store, seeds, ports, ...entryOptions });
  }
  const deployment = { store, servers, entries: all };
  for (const entry of all) {
    const until = performance.now() + 10_000;
    while (await entry.readiness() !== 200) {
      if (performance.now() > until || entry.exit !== undefined) {
        const { output, exit } = entry;
        await stopDeployment(deployment);
        throw new Error(`${entry.name} is not ready (${exit}): ${output}`);
      }
      await sleep(50);
    }
  }
  return deployment;
}

export async function stopDeployment({ store, servers, entries }) {
  for (const entry of entries) await entry.stop();
  for (const server of servers) server.close();
  store.close();
}

/** One client request on a connection of its own. */
export function send(entry, {
  id,
  method = "GET",
  path,
  body,
  deadlineMilliseconds = 1_500,
  headers = {},
  waitMilliseconds = deadlineMilliseconds,
}) {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    const [host, port] = entry.callAddress.split(":");
    const done = (result) =>
      resolve({ id, milliseconds: performance.now() - startedAt, ...result });
    const call = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        host: HOST,
        "request-id": id,
        "deadline-ms": String(deadlineMilliseconds),
        ...headers,
      },
    }, (answer) => {
      let text = "";
      answer.setEncoding("latin1");
      answer.on("data", (chunk) => text += chunk);
      answer.on("error", () => {});
      answer.on("close", () => {
        clearTimeout(timer);
        done({
          status: answer.statusCode,
          headers: answer.headers,
          isComplete: answer.complete,
          text,
        });
      });
    });
    const timer = setTimeout(() => {
      call.destroy();
      done({ status: undefined, detail: "no answer" });
    }, waitMilliseconds);
    call.on("error", (error) => {
      clearTimeout(timer);
      done({ status: undefined, detail: String(error.code ?? error) });
    });
    call.end(body);
  });
}

/** A raw connection to an entry; collects what comes on it. */
export function openRaw(entry) {
  const [host, port] = entry.callAddress.split(":");
  const socket = connect({ host, port: Number(port) });
  const raw = { socket, received: "", isClosed: false };
  socket.on("data", (chunk) => raw.received += chunk.toString("latin1"));
  socket.on("error", () => {});
  socket.on("close", () => raw.isClosed = true);
  return raw;
}
