/**
 * Tests how an exchange ends when the timer of its deadline fires early, and
 * what entries tell each other of the server that answered.
 */
import { once } from "node:events";
import {
  createServer,
  get,
  type IncomingMessage,
  type Server,
} from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import { afterEach, expect, it } from "vitest";
import { SnapshotRouter } from "@marigoldford/kernel/snapshot_router";
import {
  CALLER_PROTOCOLS,
  makeHeaderProtocol,
  type StatementReader,
} from "./caller_protocol.ts";
import { ConnectionGuard } from "./callers/connection_guard.ts";
import { CrashDetector } from "./crash_detector.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { GatewayMetrics } from "./metrics.ts";
import { Placer } from "./placer.ts";
import { MessageClock } from "./message_clock.ts";
import { copyEndToEndHeaders } from "./raw_headers.ts";
import { RequestExchange } from "./request_exchange.ts";
import { ServerStatements } from "./server_statements.ts";
import { ServerLoad } from "@marigoldford/kernel/server_load";
import { ServerReach } from "@marigoldford/kernel/server_reach";
import { ServerTable } from "./server_table.ts";
import { ServiceStates } from "./service_states.ts";

const TIMEOUT_MILLISECONDS = 200;
/** The clock loses this share against the timers, so that they fire early. */
const CLOCK_LAG_SHARE = 0.02;

const servers: { close: () => void }[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

async function listen(server: Server | ReturnType<typeof createTcpServer>) {
  servers.push(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

function makeContext(
  serverPort: number,
  readStatement?: StatementReader,
): ExchangeContext {
  const startedAt = performance.now();
  const clock = () =>
    startedAt + (performance.now() - startedAt) * (1 - CLOCK_LAG_SHARE);
  const router = new SnapshotRouter(Math.random);
  router.adopt({
    version: 1,
    routes: [{
      name: "orders",
      host: "shop.example",
      pathPrefix: "/",
      kind: "idempotent",
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      objectiveMilliseconds: TIMEOUT_MILLISECONDS,
      priority: 0,
      maximumAttempts: 1,
      services: [{ service: "desk", weight: 1 }],
    }],
    services: [],
    limits: {
      maximumHeaderBytes: 10_000,
      maximumBodyBytes: 10_000,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 1_000,
    },
  });
  const { headers } = CALLER_PROTOCOLS.find("marigoldford")._unsafeUnwrap();
  const protocol = makeHeaderProtocol(headers, readStatement);
  const metrics = new GatewayMetrics();
  const statements = new ServerStatements({
    messageClock: new MessageClock("self", clock),
    self: "entry-1",
    failureDomain: "north",
    clock,
    random: () => 0,
    leavingEffectMilliseconds: 2_000,
    socket: { send: () => {} },
    peers: () => [],
    members: () => [],
    protocol,
    metrics,
    writeEvent: () => {},
  });
  const table = new ServerTable({
    takeConnection: () => undefined,
    restrictionsOf: (registration) => statements.restrictionsOf(registration),
    clock,
    idleMilliseconds: 1_000,
    maximumSockets: 4,
  });
  table.sync(
    {
      isEvacuated: () => false,
      records: new Map([["server-1", {
        revision: 1,
        registration: {
          id: "server-1",
          service: "desk",
          address: `127.0.0.1:${serverPort}`,
          failureDomain: "north",
          slots: 4,
          state: "ready",
          warmUpLeftMilliseconds: 0,
          bornAtMilliseconds: 0,
          sequence: 1,
        },
      }]]),
    } as unknown as Parameters<ServerTable["sync"]>[0],
  );
  servers.push(table);
  const prober = {
    probeForRequest: () => Promise.resolve("unasked" as const),
    isConnected: () => false,
  };
  return {
    clock,
    connectTimeoutMilliseconds: 1_000,
    protocol,
    statements,
    router,
    servers: table,
    placer: new Placer({
      clock,
      random: Math.random,
      failureDomain: "north",
      costs: {
        crossDomainCost: { roundTripMilliseconds: 1, objectivesPerMegabyte: 1 },
        objectivesPerConnection: 0,
        objectivesPerConnectionInLargeFleet: 0,
      },
      servers: table,
      warmUpRateOf: () => 0,
      prober: prober as unknown as ConstructorParameters<
        typeof Placer
      >[0]["prober"],
      areReportsExchanged: () => true,
    }),
    metrics,
    writeEvent: () => {},
    services: new ServiceStates({
      clock,
      bounds: {
        graceSeconds: 1,
        configurationEffectSeconds: 2,
        leavingEffectSeconds: 2,
        directoryAnswerSeconds: 1,
        retryShare: 1,
        retryAllowance: 100,
        retryWindowSeconds: 10,
        probesPerSecond: 1,
      },
      memberCount: () => 1,
    }),
    crashDetector: new CrashDetector({
      self: "entry-1",
      clock,
      settings: {
        crashesToQuarantine: 3,
        retentionMilliseconds: 1_000,
        maximumSuspects: 10,
        maximumWaitMilliseconds: 10,
        maximumSuspectWaitMilliseconds: 10,
      },
      socket: { send: () => {} },
      isDown: () => Promise.resolve(false),
      findServer: () => undefined,
      peers: () => [],
      writeEvent: () => {},
    }),
    discovery: { isUsable: true, whenUsable: () => Promise.resolve() },
    reach: new ServerReach(clock),
    forwarder: { reachOf: () => "reached", choose: () => undefined },
    origin: "caller",
    isReady: () => true,
    isAccepting: () => true,
    mayKeepConnections: () => true,
    onInFlightChange: () => {},
    guard: new ConnectionGuard({ limits: undefined }),
    onReport: () => {},
    offerSlot: () => {},
  };
}

it("a deadline whose timer fires early is told as 504", async () => {
  const silent = createTcpServer((socket) => {
    servers.push({ close: () => socket.destroy() });
    socket.on("error", () => {});
    socket.resume();
  });
  const context = makeContext(await listen(silent));
  const front = createServer((request, response) =>
    new RequestExchange(context, request, response).start(() => {})
  );
  const port = await listen(front);
  const call = get({
    port,
    host: "127.0.0.1",
    agent: false,
    headers: { host: "shop.example", "marigoldford-request-id": "r1" },
  });
  const [answer] = await once(call, "response") as [IncomingMessage];
  answer.resume();
  expect(answer.statusCode).toBe(504);
});

const LEAVING_HEADER = "x-leaving";
const readLeaving: StatementReader = ({ headers }) => ({
  statement: {
    requestLimit: "none",
    isLeaving: headers[LEAVING_HEADER] !== undefined,
    pauseMilliseconds: 0,
  },
  malformed: [],
});

/** A backend server all of whose answers say that it leaves. */
async function startLeavingServer(): Promise<number> {
  return await listen(createServer((request, response) => {
    const { headers } = CALLER_PROTOCOLS.find("marigoldford")._unsafeUnwrap();
    response.writeHead(200, {
      [headers.requestId]: String(request.headers[headers.requestId]),
      [headers.signature]: "server-1",
      [LEAVING_HEADER]: "1",
    }).end("done");
  }));
}

async function startExchanges(context: ExchangeContext): Promise<number> {
  return await listen(
    createServer((request, response) =>
      new RequestExchange(context, request, response).start(() => {})
    ),
  );
}

async function call(port: number): Promise<IncomingMessage> {
  const [answer] = await once(
    get({
      port,
      host: "127.0.0.1",
      agent: false,
      headers: { host: "shop.example", "marigoldford-request-id": "r1" },
    }),
    "response",
  ) as [IncomingMessage];
  answer.resume();
  return answer;
}

// Guards against: an entry that had a request passed on by a peer sends a server
// requests although it has passed on an answer that says the server leaves.
it("an answer that a peer passes on tells both entries that its server leaves", async () => {
  const atPeer = {
    ...makeContext(await startLeavingServer(), readLeaving),
    origin: "peer" as const,
  };
  const peerPort = await startExchanges(atPeer);
  const run = { id: "server-1", bornAtMilliseconds: 0 };

  const throughPeer = makeContext(peerPort, readLeaving);
  const { load, connections } = throughPeer.servers.find("server-1")!;
  const peer = new ServerLoad(
    { ...load.registration, id: "peer-incarnation" },
    throughPeer.clock(),
  );
  const context: ExchangeContext = {
    ...throughPeer,
    forwarder: {
      reachOf: () => "cut",
      choose: () => ({
        placement: { server: peer, expectedMilliseconds: 0, candidateCount: 1 },
        connections,
      }),
    },
  };
  const answer = await call(await startExchanges(context));
  expect(answer.statusCode).toBe(200);
  for (const { statements } of [atPeer, context]) {
    expect(statements.restrictionsOf(run).isLeaving).toBe(true);
  }
  // A header between entries is of no use to callers.
  expect(answer.rawHeaders.join(" ")).not.toContain("answering-server");
});

// Guards against: a request is refused, although other servers are left, because
// its server was evacuated after it had been selected.
it("a request whose server is gone by now is sent to another one", async () => {
  const { servers: table, ...others } = makeContext(await startLeavingServer());
  let isGone = true;
  const servers = {
    ofService: (service: string) => table.ofService(service),
    find: (id: string) => {
      const found = isGone ? undefined : table.find(id);
      isGone = false;
      return found;
    },
  } as unknown as ServerTable;
  const context = { ...others, servers };
  const answer = await call(await startExchanges(context));
  expect(answer.statusCode).toBe(200);
});

it("the header that names a server is limited to its connection", async () => {
  const context = makeContext(await startLeavingServer(), readLeaving);
  const port = await startExchanges({ ...context, origin: "peer" });
  const { headers, rawHeaders } = await call(port);
  expect(headers["marigoldford-answering-server"]).toBe("0 server-1");
  expect(headers.connection).toContain("marigoldford-answering-server");
  expect(copyEndToEndHeaders(rawHeaders, new Set()).join(" "))
    .not.toContain("answering-server");
});

// Guards against: an entry that is cut takes a connection that something on the
// way accepts and resets for a server that it reaches.
it("a connection that is accepted and reset says that its server is not reached", async () => {
  const resetting = createTcpServer((socket) =>
    socket.once("data", () => socket.resetAndDestroy())
  );
  const context = makeContext(await listen(resetting));
  for (const server of ["server-2", "server-3"]) {
    context.reach.recordFailure("desk", server, "connection");
  }
  const answer = await call(await startExchanges(context));
  expect(answer.statusCode).toBe(502);
  expect(context.reach.of("desk", 3)).toBe("cut");
});

it("an answer on a new connection says that its server is reached", async () => {
  const context = makeContext(await startLeavingServer());
  for (const server of ["server-2", "server-3", "server-4"]) {
    context.reach.recordFailure("desk", server, "connection");
  }
  const answer = await call(await startExchanges(context));
  expect(answer.statusCode).toBe(200);
  expect(context.reach.of("desk", 4)).toBe("reached");
});
