/**
 * Tests which requests count as having crashed backend servers.
 */
import { afterEach, beforeEach, expect, it } from "vitest";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { ServerRegistration } from "@marigoldford/kernel/routing_snapshot";
import { ServerLoad } from "@marigoldford/kernel/server_load";
import { CrashDetector } from "./crash_detector.ts";
import type { FleetDatagram } from "./fleet_messages.ts";

const REQUEST = () => "GET shop.example /page ";

let now: number;
let down: Set<string>;
let judge: (server: ServerLoad) => Promise<boolean>;
let sent: FleetDatagram[];
let detector: CrashDetector;

beforeEach(() => {
  now = 10_000;
  down = new Set();
  judge = ({ registration }) => Promise.resolve(down.has(registration.id));
  sent = [];
  detector = makeDetector();
});

const pending: (() => void)[] = [];
afterEach(() => pending.splice(0).forEach((settle) => settle()));

function makeDetector(): CrashDetector {
  return new CrashDetector({
    self: "self",
    clock: () => now,
    settings: {
      crashesToQuarantine: 3,
      retentionMilliseconds: 60_000,
      maximumSuspects: 10,
      maximumWaitMilliseconds: 5,
      maximumSuspectWaitMilliseconds: 50,
    },
    socket: { send: (_, datagram) => sent.push(datagram) },
    isDown: (server) => judge(server),
    findServer: (address) => serverAt(address),
    peers: () => [{ datagramAddress: "127.0.0.1:1" } as MemberRecord],
    writeEvent: () => {},
  });
}

function serverAt(address: string): ServerLoad {
  const registration = { id: address, address, warmUpLeftMilliseconds: 0 };
  return new ServerLoad(registration as ServerRegistration, now);
}

async function breakAt(address: string, startedAtMilliseconds: number) {
  await detector.checkForCrash(REQUEST, {
    server: serverAt(address),
    startedAtMilliseconds,
  });
}

async function breakInTurn(addresses: readonly string[]) {
  for (const address of addresses) {
    const startedAt = now;
    now += 20;
    await breakAt(address, startedAt);
    now += 1;
  }
}

// Guards against: a request that crashes servers runs more than three times.
it("a request is quarantined after it has crashed three servers in turn", async () => {
  down = new Set(["a", "b", "c"]);
  await breakInTurn(["a", "b"]);
  expect(detector.isQuarantined(REQUEST)).toBe(false);
  await breakInTurn(["c"]);
  expect(detector.isQuarantined(REQUEST)).toBe(true);
  expect(sent).toHaveLength(3);
});

// Guards against: a popular request is refused for a minute after a cut by
// resets, as each broken connection counts as a crash of its server.
it("a request is not suspected if the servers of its broken connections live", async () => {
  await breakInTurn(["a", "b", "c", "d"]);
  expect(detector.isQuarantined(REQUEST)).toBe(false);
  expect(sent).toEqual([]);
});

// Guards against: a popular request is refused after servers that lost power
// together, because it was in progress at several of them.
it("servers that crash together do not quarantine what they all ran", async () => {
  down = new Set(["a", "b", "c", "d"]);
  const startedAt = now;
  now += 20;
  for (const address of down) await breakAt(address, startedAt);
  expect(detector.isQuarantined(REQUEST)).toBe(false);
  await breakInTurn(["e"]);
  expect(detector.isQuarantined(REQUEST)).toBe(false);
  down.add("f");
  await breakInTurn(["f"]);
  expect(detector.isQuarantined(REQUEST)).toBe(true);
});

// Guards against: a request stays refused although servers have answered it.
it("an answer clears a request, also while judgements are in progress", async () => {
  down = new Set(["a", "b", "c"]);
  await breakInTurn(["a", "b", "c"]);
  expect(detector.isQuarantined(REQUEST)).toBe(true);
  detector.recordAnswer(REQUEST);
  expect(detector.isQuarantined(REQUEST)).toBe(false);

  let settle = (_isDown: boolean) => {};
  judge = () => new Promise((resolve) => settle = resolve);
  const check = breakAt("a", now);
  detector.recordAnswer(REQUEST);
  settle(true);
  await check;
  judge = () => Promise.resolve(true);
  await breakInTurn(["b", "c"]);
  expect(detector.isQuarantined(REQUEST)).toBe(false);
});

// Guards against: a crash is not counted if its server fails a probe only after
// the time that a retry waits.
it("a judgement counts however late, and holds up the request that it may quarantine", async () => {
  down = new Set(["a", "b"]);
  await breakInTurn(["a", "b"]);
  let settle = (_isDown: boolean) => {};
  judge = () => new Promise((resolve) => settle = resolve);
  const startedAt = now;
  now += 20;
  const check = breakAt("c", startedAt);
  const judged = detector.whenJudged(REQUEST);
  expect(judged).toBeDefined();
  expect(detector.whenJudged(() => "another")).toBeUndefined();
  settle(true);
  await Promise.all([check, judged]);
  expect(detector.isQuarantined(REQUEST)).toBe(true);
});

it("a retry does not wait for a judgement longer than it may", async () => {
  judge = () => new Promise((resolve) => pending.push(() => resolve(false)));
  await breakInTurn(["a", "b", "c"]);
  await detector.whenJudged(REQUEST);
  expect(detector.isQuarantined(REQUEST)).toBe(false);
});

// Guards against: the entries of the build before, which ask no others, make
// the whole fleet refuse a popular request while they are cut from the servers.
it("what a peer suspects alone is judged again", async () => {
  const fingerprint = await fingerprintOnWire();
  const datagram = { kind: "crash", from: "peer", fingerprint } as const;
  for (const server of ["a", "b", "c"]) {
    detector.recordPeerCrash({ ...datagram, server });
  }
  expect(await isQuarantinedByPeers()).toBe(false);
  down = new Set(["a", "b", "c"]);
  for (const server of down) {
    detector.recordPeerCrash({ ...datagram, server });
  }
  expect(await isQuarantinedByPeers()).toBe(true);
});

it("what entries have judged counts as it is told, with its times", async () => {
  const fingerprint = await fingerprintOnWire();
  const crash = (server: string, startAgeMilliseconds: number) =>
    detector.recordPeerCrash({
      kind: "crash",
      from: "peer",
      fingerprint,
      server,
      judged: { startAgeMilliseconds, breakAgeMilliseconds: 10 },
    });
  for (const server of ["a", "b", "c"]) crash(server, 100);
  expect(await isQuarantinedByPeers()).toBe(false);
  now += 1_000;
  crash("d", 100);
  expect(await isQuarantinedByPeers()).toBe(true);
});

/** How entries name the request to each other. */
async function fingerprintOnWire(): Promise<string> {
  down.add("z");
  await breakAt("z", now);
  down.clear();
  const [told] = sent;
  detector = makeDetector();
  return told.kind === "crash" ? told.fingerprint : "";
}

/** Whether the request is quarantined by what peers have told of it. */
async function isQuarantinedByPeers(): Promise<boolean> {
  await new Promise((resolve) => setTimeout(resolve, 1));
  return detector.isQuarantined(REQUEST);
}
