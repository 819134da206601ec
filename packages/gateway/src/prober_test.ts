/**
 * Tests when a backend server is not probed.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { expect, it } from "vitest";
import { RateBudget } from "@marigoldford/kernel/rate_budget";
import { ServerReach } from "@marigoldford/kernel/server_reach";
import type { ServerRegistration } from "@marigoldford/kernel/routing_snapshot";
import { ServerLoad } from "@marigoldford/kernel/server_load";
import { CALLER_PROTOCOLS } from "./caller_protocol.ts";
import { Prober } from "./prober.ts";
import type { ServerTable } from "./server_table.ts";

function makeProber(clock: () => number): Prober {
  return new Prober({
    self: "entry",
    failureDomain: "a",
    clock,
    settings: {
      maximumReportAgeMilliseconds: 400,
      timeoutMilliseconds: 400,
      maximumWaitMilliseconds: 400,
    },
    budget: new RateBudget(clock, () => 1_000),
    protocol: CALLER_PROTOCOLS.find("marigoldford")._unsafeUnwrap(),
    servers: { find: () => undefined } as unknown as ServerTable,
    members: () => [],
    areReportsExchanged: () => false,
    healthPathOf: () => "/health",
    onReport: () => {},
    onHealthCheck: () => {},
    onProbe: () => {},
    reach: new ServerReach(clock),
  });
}

function makeLoad(port: number, now: number): ServerLoad {
  return new ServerLoad({
    id: "server",
    service: "web",
    address: `127.0.0.1:${port}`,
    warmUpLeftMilliseconds: 0,
  } as ServerRegistration, now);
}

// Guards against: a server that drops idle connections counts as failing.
it("a probe on a connection that the server has dropped is sent anew", async () => {
  const answered = new WeakSet<Socket>();
  const server = createServer((request, response) => {
    if (answered.has(request.socket)) return void request.socket.destroy();
    answered.add(request.socket);
    response.writeHead(200, { "content-length": "0" }).end();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  let now = 1_000;
  const clock = () => now;
  const prober = makeProber(clock);
  const load = makeLoad((server.address() as AddressInfo).port, now);
  for (let count = 0; count < 3; count++) {
    now += 1_000;
    expect(await prober.probe(load)).toBe("answered");
  }
  expect(load.failureRate(now)).toBe(0);
  prober.stop();
  server.closeAllConnections();
  server.close();
});

// Guards against: health checks reach a server that has asked for a pause.
it("a server that has asked for a pause is not probed until its end", async () => {
  let probes = 0;
  const server = createServer((_, response) => {
    probes += 1;
    response.writeHead(200, { "content-length": "0" }).end();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  let now = 1_000;
  const clock = () => now;
  const prober = makeProber(clock);
  const load = makeLoad(port, now);
  now += 1_000;
  expect(await prober.probe(load)).toBe("answered");
  load.restrictions.recordPause(1_500, now);
  now += 1_499;
  expect(await prober.probe(load)).toBe("unasked");
  expect(await prober.check(load)).toBe("unasked");
  expect(probes).toBe(1);
  now += 1;
  expect(await prober.probe(load)).toBe("answered");
  expect(await prober.check(load)).toBe("answered");
  expect(probes).toBe(3);
  prober.stop();
  server.close();
});
