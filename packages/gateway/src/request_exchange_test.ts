/**
 * Tests how an exchange ends when the timer of its deadline fires early.
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
import { CALLER_PROTOCOLS } from "./caller_protocol.ts";
import { CrashDetector } from "./crash_detector.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { GatewayMetrics } from "./metrics.ts";
import { Placer } from "./placer.ts";
import { MessageClock } from "./message_clock.ts";
import { RequestExchange } from "./request_exchange.ts";
import { ServerStatements } from "./server_statements.ts";
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

function makeContext(serverPort: number): ExchangeContext {
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
  const protocol = CALLER_PROTOCOLS.find("marigoldford")._unsafeUnwrap();
  const metrics = new GatewayMetrics();
  const statements = new ServerStatements({
    messageClock: new MessageClock("self", clock),
    self: "entry-1",
    failureDomain: "north",
    clock,
    random: () => 0,
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
      },
      servers: table,
      prober: prober as unknown as ConstructorParameters<
        typeof Placer
      >[0]["prober"],
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
      },
      socket: { send: () => {} },
      prober,
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
    onReport: () => {},
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
