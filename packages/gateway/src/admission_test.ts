/**
 * Tests how callers that come back after a refusal are recognized.
 */
import type { IncomingMessage } from "node:http";
import { expect, it } from "vitest";
import { SnapshotRouter } from "@marigoldford/kernel/snapshot_router";
import { admit } from "./admission.ts";
import { CALLER_PROTOCOLS } from "./caller_protocol.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { ServiceStates } from "./service_states.ts";

const TIMEOUT_MILLISECONDS = 4_000;
const DEADLINE_MILLISECONDS = 8_000;

const PROTOCOL = CALLER_PROTOCOLS.find("marigoldford")._unsafeUnwrap();

function makeContext(): ExchangeContext {
  const router = new SnapshotRouter(Math.random);
  router.adopt({
    version: 1,
    routes: [{
      name: "orders",
      host: "shop.example",
      pathPrefix: "/",
      kind: "idempotent",
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      objectiveMilliseconds: 800,
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
  const services = new ServiceStates({
    clock: () => 0,
    bounds: {
      graceSeconds: 1,
      configurationEffectSeconds: 2,
      leavingEffectSeconds: 2,
      directoryAnswerSeconds: 1,
      retryShare: 1,
      retryAllowance: 1,
      retryWindowSeconds: 10,
      probesPerSecond: 1,
    },
    memberCount: () => 1,
  });
  return {
    protocol: PROTOCOL,
    router,
    services,
    isReady: () => true,
    isAccepting: () => true,
  } as unknown as ExchangeContext;
}

function makeRequest(deadlineMilliseconds: number): IncomingMessage {
  const headers = {
    host: "shop.example",
    [PROTOCOL.headers.requestId]: "r1",
    [PROTOCOL.headers.deadline]: String(deadlineMilliseconds),
  };
  return { url: "/", headers, rawHeaders: [] } as unknown as IncomingMessage;
}

it("recognizes a caller that comes back with more time than the timeout", () => {
  const context = makeContext();
  const callerAge = (deadlineMilliseconds: number) =>
    admit(context, makeRequest(deadlineMilliseconds))._unsafeUnwrap()
      .callerAgeMilliseconds;
  expect(callerAge(DEADLINE_MILLISECONDS)).toBe(0);
  expect(callerAge(DEADLINE_MILLISECONDS - 1_200)).toBeCloseTo(1_200, -2);
});
