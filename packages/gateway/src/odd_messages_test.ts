/**
 * Tests that a message of a peer is used only if all of it can be: a peer of
 * another build may send fields that this one does not know, or odd ones.
 */
import { Buffer } from "node:buffer";
import { deflateRawSync } from "node:zlib";
import { encode } from "cbor-x";
import fastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import {
  positionOf,
  type ToldPosition,
} from "@marigoldford/kernel/discovery_position";
import type { ToldEvacuation } from "@marigoldford/kernel/evacuations";
import {
  decodeDatagram,
  decodeFleetFrame,
  type DiscoveryFreshness,
  encodeDatagram,
  encodeFleetFrame,
  type FleetDatagram,
  type FleetFrame,
} from "./fleet_messages.ts";

const SEED = 20_261_205;
const RECORD = {
  incarnation: "abc",
  callAddress: "10.0.0.1:80",
  meshAddress: "10.0.0.1:81",
  datagramAddress: "10.0.0.1:82",
  failureDomain: "a",
  state: "serving",
  counter: 7,
} as const;
const REGISTRATION = {
  id: "server-1",
  service: "web",
  address: "10.0.0.9:80",
  failureDomain: "a",
  slots: 4,
  state: "ready",
  warmUpLeftMilliseconds: 0,
  bornAtMilliseconds: 1_700_000_000_000,
  sequence: 3,
} as const;
const SNAPSHOT = {
  version: 2,
  routes: [{
    name: "r",
    host: "shop.example",
    pathPrefix: "/a/",
    kind: "idempotent",
    timeoutMilliseconds: 1_000,
    objectiveMilliseconds: 200.5,
    priority: 1,
    maximumAttempts: 2,
    services: [{ service: "web", weight: 1 }],
  }],
  services: [{ name: "web", healthPath: "/up", maximumConnections: 10 }, {
    name: "api",
    healthPath: "/up",
    maximumConnections: 10,
    warmUpRequestsPerSecond: 1.9,
  }],
  limits: {
    maximumHeaderBytes: 1_000,
    maximumBodyBytes: 1_000,
    headerTimeoutMilliseconds: 1_000,
    idleTimeoutMilliseconds: 1_000,
  },
} as const;
const DEPARTURE = { clock: "abc", atMilliseconds: 1_234.5 };
const NEWS = {
  era: 3,
  revision: 9,
  snapshotVersion: 2,
  ageMilliseconds: 3.5,
  departure: DEPARTURE,
};
const BYTES = new Uint8Array(9);

const DATAGRAMS: readonly FleetDatagram[] = [
  {
    kind: "members",
    from: "abc",
    records: [RECORD],
    heartbeats: BYTES,
    news: { revision: 9, ageMilliseconds: Number.MAX_SAFE_INTEGER },
    wantsReply: true,
  },
  {
    kind: "members",
    from: "abc",
    records: [],
    heartbeats: BYTES,
    news: NEWS,
    evacuations: [
      { era: 3, revision: 8, failureDomain: "a", isEvacuated: true },
      {
        revision: 0,
        failureDomain: "b",
        isEvacuated: true,
        graceMilliseconds: 9,
      },
    ],
    wantsReply: false,
  },
  { kind: "who", from: "abc", tags: [0, 0xffffffff] },
  { kind: "news", from: "abc", news: NEWS },
  {
    kind: "load",
    from: "abc",
    inFlight: BYTES,
    reports: BYTES,
    isForDomain: false,
  },
  {
    kind: "statements",
    from: "abc",
    statements: [{
      id: "server-1",
      bornAtMilliseconds: 1,
      requestLimit: "none",
      ageMilliseconds: 2,
    }, {
      id: "server-2",
      bornAtMilliseconds: 1,
      requestLimit: 1.5,
      ageMilliseconds: 2,
    }],
    leaving: [{ id: "server-3", bornAtMilliseconds: 1, ageMilliseconds: 2 }],
    isForDomain: true,
  },
  { kind: "reach", from: "abc", unreached: ["web"] },
  {
    kind: "reach",
    from: "abc",
    unreached: [],
    asks: ["server-1"],
    findings: [{ server: "server-2", isReached: false }],
  },
  { kind: "crash", from: "abc", fingerprint: "f", server: "10.0.0.9:80" },
  {
    kind: "crash",
    from: "abc",
    fingerprint: "f",
    server: "10.0.0.9:80",
    judged: { startAgeMilliseconds: 20, breakAgeMilliseconds: 3.5 },
  },
];
const CHANGES = [
  { kind: "snapshot", snapshot: SNAPSHOT },
  {
    kind: "registration",
    revision: 5,
    registration: REGISTRATION,
    graceMilliseconds: 1_500.5,
    withheldMilliseconds: 4_000,
  },
  { kind: "gone", revision: 6, id: "server-2", reason: "removed" },
  {
    kind: "evacuation",
    revision: 7,
    failureDomain: "a",
    isEvacuated: true,
    graceMilliseconds: 20.5,
  },
] as const;
const FRAMES: readonly FleetFrame[] = [
  {
    kind: "update",
    era: 3,
    baseRevision: 4,
    revision: 9,
    changes: CHANGES,
    evacuationCount: 1,
    snapshotDifference: {
      baseVersions: [1],
      removedRoutes: ["old"],
      ...SNAPSHOT,
    },
    ageMilliseconds: 0,
    departure: DEPARTURE,
    isListing: true,
    isForDomain: true,
  },
  { kind: "reading-request" },
  {
    kind: "reading",
    reading: { era: 3, revision: 9, changes: CHANGES, evacuationCount: 1 },
    ageMilliseconds: 12,
    departure: DEPARTURE,
  },
];

function nest(depth: number): Buffer {
  // An array of one element, again and again.
  return Buffer.alloc(depth, 0x81);
}

describe("a message of this build", () => {
  it.each(DATAGRAMS)("($kind) is read as it was sent", (datagram) => {
    expect(decodeDatagram(encodeDatagram(datagram))._unsafeUnwrap())
      .toEqual(datagram);
  });

  it.each(FRAMES)("($kind) is read as it was sent", (frame) => {
    expect(decodeFleetFrame(encodeFleetFrame(frame))._unsafeUnwrap())
      .toEqual(frame);
  });

  it("is deflated if it is large, and read as it was sent", () => {
    const routes = Array.from({ length: 1_600 }, (_, index) => ({
      ...SNAPSHOT.routes[0],
      name: `route-${index}`,
    }));
    const changes = [{
      kind: "snapshot",
      snapshot: { ...SNAPSHOT, routes },
    }] as const;
    const frame = { ...FRAMES[0], changes } as FleetFrame;
    const bytes = encodeFleetFrame(frame);
    expect(bytes.byteLength).toBeLessThan(encode(frame).byteLength / 10);
    expect(decodeFleetFrame(bytes)._unsafeUnwrap()).toEqual(frame);
  });

  it("may have fields of later builds", () => {
    const later = { ...DATAGRAMS[2], more: { nested: [1] } };
    expect(decodeDatagram(encode(later)).isOk()).toBe(true);
  });
});

const odd = fastCheck.oneof(
  fastCheck.constantFrom(
    undefined,
    null,
    "",
    -1,
    NaN,
    Infinity,
    1e300,
    "10.0.0.1:99999",
    "10.0.0.1",
    {},
    [],
    [null],
    [7],
  ),
  fastCheck.anything({ maxDepth: 2 }),
);

/** Paths of all fields of a value. */
function pathsOf(value: unknown): (string | number)[][] {
  if (typeof value !== "object" || value === null) return [];
  if (value instanceof Uint8Array) return [];
  return Object.entries(value).flatMap(([key, field]) => [
    [key],
    ...pathsOf(field).map((path) => [key, ...path]),
  ]);
}

function replaced(
  value: unknown,
  [key, ...rest]: readonly (string | number)[],
  field: unknown,
): unknown {
  const copy = Array.isArray(value) ? [...value] : { ...value as object };
  const fields = copy as Record<string | number, unknown>;
  fields[key] = rest.length === 0 ? field : replaced(fields[key], rest, field);
  return copy;
}

describe("an odd message", () => {
  it("of a datagram never throws, and all addresses in it can be used", () => {
    const cases = DATAGRAMS.flatMap((datagram) =>
      pathsOf(datagram).map((path) => ({ datagram, path }))
    );
    fastCheck.assert(
      fastCheck.property(
        fastCheck.constantFrom(...cases),
        odd,
        ({ datagram, path }, field) => {
          const bytes = encode(replaced(datagram, path, field));
          const result = decodeDatagram(bytes);
          if (result.isErr()) {
            expect(result.error.detail.length).toBeLessThan(500);
          } else expectUsable(result.value);
        },
      ),
      { seed: SEED, numRuns: 2_000 },
    );
  });

  it("of a frame never throws, and all it changes can be used", () => {
    const cases = FRAMES.flatMap((frame) =>
      pathsOf(frame).map((path) => ({ frame, path }))
    );
    fastCheck.assert(
      fastCheck.property(
        fastCheck.constantFrom(...cases),
        odd,
        ({ frame, path }, field) => {
          const bytes = encode(replaced(frame, path, field));
          const result = decodeFleetFrame(bytes);
          if (result.isErr()) {
            expect(result.error.detail.length).toBeLessThan(500);
          } else expectUsable(result.value);
        },
      ),
      { seed: SEED, numRuns: 2_000 },
    );
  });

  it.each(["isListing", "isForDomain"])(
    "whose %s is no flag is refused",
    (name) => {
      const frame = { ...FRAMES[0], [name]: "no" };
      expect(decodeFleetFrame(encode(frame)).isErr()).toBe(true);
    },
  );

  it("whose snapshot difference is odd is refused as a whole", () => {
    const frame = { ...FRAMES[0], snapshotDifference: { baseVersions: [1] } };
    expect(decodeFleetFrame(encode(frame)).isErr()).toBe(true);
  });

  it("that is deflated, but wrongly or too large, is refused", () => {
    const tooLarge = deflateRawSync(Buffer.alloc(65 * 1024 * 1024));
    for (const bytes of [BYTES, tooLarge, "text"]) {
      const frame = encode({ kind: "deflated", bytes });
      expect(decodeFleetFrame(frame).isErr()).toBe(true);
    }
  });

  it("nested deeply is refused", () => {
    for (const depth of [10, 1_000, 60_000, 4_000_000]) {
      expect(decodeDatagram(nest(depth)).isErr()).toBe(true);
      expect(decodeFleetFrame(nest(depth)).isErr()).toBe(true);
    }
  });
});

function expectUsable(message: FleetDatagram | FleetFrame): void {
  switch (message.kind) {
    case "members":
      for (const record of message.records) {
        expect(record.datagramAddress).toMatch(/^10\.0\.0\.1:8\d$/);
        expect(record.meshAddress).toMatch(/^10\.0\.0\.1:8\d$/);
        expect(typeof record.incarnation).toBe("string");
        expect(Number.isSafeInteger(record.counter)).toBe(true);
      }
      expect(message.heartbeats).toBeInstanceOf(Uint8Array);
      message.evacuations?.forEach(expectUsableEvacuation);
      return expectUsableFreshness(message.news);
    case "news":
      return expectUsableFreshness(message.news);
    case "who":
      return message.tags.forEach((tag) => expect(tag).toBeTypeOf("number"));
    case "reach":
      return message.unreached.forEach((service) =>
        expect(service).toMatch(/^[^]{1,256}$/)
      );
    case "load":
      expect(message.inFlight).toBeInstanceOf(Uint8Array);
      expect(message.reports).toBeInstanceOf(Uint8Array);
      return;
    case "update":
      expectUsablePosition(message);
      return expectUsableChanges(message.changes);
    case "reading":
      expectUsablePosition(message.reading);
      return expectUsableChanges(message.reading.changes);
    default:
      return;
  }
}

function expectUsableFreshness(news: DiscoveryFreshness): void {
  expectUsablePosition(news);
  expect(Number.isSafeInteger(news.snapshotVersion ?? 0)).toBe(true);
  expect(news.ageMilliseconds).toBeGreaterThanOrEqual(0);
}

function expectUsableEvacuation(told: ToldEvacuation): void {
  expectUsablePosition(told);
  expect(told.failureDomain).toMatch(/^[^]{1,256}$/);
  expect(typeof told.isEvacuated).toBe("boolean");
  expect(told.graceMilliseconds ?? 0).toBeGreaterThanOrEqual(0);
}

function expectUsablePosition(told: ToldPosition): void {
  const { era, revision } = positionOf(told);
  expect(Number.isSafeInteger(era)).toBe(true);
  expect(Number.isSafeInteger(revision)).toBe(true);
}

function expectUsableChanges(
  changes: Extract<FleetFrame, { kind: "update" }>["changes"],
): void {
  for (const change of changes) {
    if (change.kind === "registration") {
      expect(change.registration.address).toMatch(/^10\.0\.0\.[19]:80$/);
      expect(change.registration.slots).toBeGreaterThan(0);
      expect(change.registration.id).toMatch(/^[!-~]+$/);
      const { graceMilliseconds = 0, withheldMilliseconds = 0 } = change;
      for (const milliseconds of [graceMilliseconds, withheldMilliseconds]) {
        expect(milliseconds).toBeGreaterThanOrEqual(0);
        expect(milliseconds).toBeLessThan(2 ** 31);
      }
    }
    if (change.kind === "evacuation") expectUsableEvacuation(change);
    if (change.kind !== "snapshot") continue;
    for (const route of change.snapshot.routes) {
      expect(route.services.length).toBeGreaterThan(0);
      expect(route.timeoutMilliseconds).toBeLessThan(2 ** 31);
    }
  }
}

it("a registration that cannot be used takes the server out of use", () => {
  const registration = { ...REGISTRATION, address: "10.0.0.9:99999" };
  const frame = {
    ...FRAMES[0],
    isListing: false,
    changes: [
      { kind: "registration", revision: 5, registration },
      { kind: "snapshot", snapshot: { ...SNAPSHOT, routes: 7 } },
      { kind: "later" },
      CHANGES[2],
    ],
  };
  expect(decodeFleetFrame(encode(frame))._unsafeUnwrap()).toMatchObject({
    changes: [
      { kind: "gone", revision: 5, id: "server-1", reason: "unreadable" },
      CHANGES[2],
    ],
  });
});
