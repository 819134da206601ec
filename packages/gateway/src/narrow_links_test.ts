/**
 * Plays a fleet whose entries have narrow links and a large configuration, and
 * checks how soon every entry acts on what the discovery service acknowledged.
 * Timers are fakes; a message takes the time of its bytes on the link of its
 * sender.
 */
import { encode } from "cbor-x";
import { ok } from "neverthrow";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import type { DiscoveryChange } from "@marigoldford/kernel/discovery_state";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type {
  RoutingSnapshot,
  SnapshotRoute,
} from "@marigoldford/kernel/routing_snapshot";
import type { Address } from "@marigoldford/kernel/types";
import { DiscoveryExchange } from "./discovery_exchange.ts";
import type { DiscoverySource } from "./discovery_source.ts";
import { DiscoverySynchronizer } from "./discovery_synchronizer.ts";
import {
  encodeFleetFrame,
  type FleetDatagram,
  type FleetFrame,
} from "./fleet_messages.ts";
import { MessageClock } from "./message_clock.ts";
import { TUNING } from "./tuning.ts";

// Vitest's fake timers do not cover node:timers/promises.
vi.mock("node:timers/promises", () => ({
  setTimeout: (milliseconds: number) =>
    new Promise((resolve) => setTimeout(resolve, milliseconds)),
}));

const ENTRIES = 32;
const DOMAINS = 2;
const LARGE_CONFIGURATION_ROUTES = 1_600;
const SMALL_CONFIGURATION_ROUTES = 30;
const SERVERS = 40;
/** A link of 10 Mbit/s. */
const LINK_BYTES_PER_MILLISECOND = 1_250;
const WAY_MILLISECONDS = 1;
const DATAGRAM_BYTES = 150;
const STEP_MILLISECONDS = 25;
const START_MILLISECONDS = 10_000;
const CHANGING_MILLISECONDS = 8_000;
const PLAY_MILLISECONDS = 12_000;
/** Other traffic that is ahead of a message in a full link. */
const FULL_LINK_MILLISECONDS = 1_800;
const DEAD_ENTRIES = 4;
/** The stated bound for changes of routes and for servers that leave. */
const EFFECT_MILLISECONDS = 2_500;

/** Bytes that follow each other on the link of one instance. */
class Link {
  /** When what other traffic has filled the link with has left it. */
  busyUntil = 0;
  #freeAt = 0;

  /** Calls `deliver` once the bytes have left and arrived. */
  send(bytes: number, deliver: () => void): void {
    this.#freeAt = Math.max(this.#freeAt, this.busyUntil, Date.now()) +
      bytes / LINK_BYTES_PER_MILLISECOND;
    setTimeout(deliver, this.#freeAt - Date.now() + WAY_MILLISECONDS);
  }
}

const sizes = new WeakMap<object, number>();

/** Size of a message; those with the same `key` are encoded once. */
function sizeOf(key: object, encodeMessage: () => Uint8Array): number {
  const known = sizes.get(key);
  if (known !== undefined) return known;
  const { byteLength } = encodeMessage();
  sizes.set(key, byteLength);
  return byteLength;
}

function frameBytes(frame: FleetFrame): number {
  const key = frame.kind === "update" ? frame.changes : frame;
  return sizeOf(key, () => encodeFleetFrame(frame));
}

function route(index: number, service: string): SnapshotRoute {
  return {
    name: `route-${index}`,
    host: `shop-${index % 40}.example`,
    pathPrefix: `/path-${index}/`,
    kind: "idempotent",
    timeoutMilliseconds: 1_000,
    objectiveMilliseconds: 200,
    priority: 1,
    maximumAttempts: 2,
    services: [{ service, weight: 1 }],
  };
}

class Service {
  revision = 1;
  snapshot: RoutingSnapshot;
  calls = 0;
  readonly events: { revision: number; change: DiscoveryChange }[] = [];
  readonly #changes = new Map<string, readonly DiscoveryChange[]>();

  constructor(routes: number) {
    this.snapshot = {
      version: 1,
      routes: Array.from({ length: routes }, (_, index) => route(index, "web")),
      services: [{ name: "web", healthPath: "/up", maximumConnections: 10 }],
      limits: {
        maximumHeaderBytes: 1_000,
        maximumBodyBytes: 1_000,
        headerTimeoutMilliseconds: 1_000,
        idleTimeoutMilliseconds: 1_000,
      },
    };
    this.#record({ kind: "snapshot", snapshot: this.snapshot });
    for (let index = 0; index < SERVERS; index++) this.register(index, "ready");
  }

  register(index: number, state: "ready" | "draining"): void {
    this.revision += 1;
    this.#record({
      kind: "registration",
      revision: this.revision,
      registration: {
        id: `server-${index}`,
        service: "web",
        address: `10.0.1.${index}:80`,
        failureDomain: "domain-0",
        slots: 4,
        state,
        warmUpLeftMilliseconds: 0,
        bornAtMilliseconds: 1,
        sequence: this.revision,
      },
    });
  }

  /** Moves a route to another service. */
  changeRoute(index: number): void {
    const { version, routes } = this.snapshot;
    this.snapshot = {
      ...this.snapshot,
      version: version + 1,
      routes: routes.with(index, route(index, `service-${version}`)),
    };
    this.revision += 1;
    this.#record({ kind: "snapshot", snapshot: this.snapshot });
  }

  #record(change: DiscoveryChange): void {
    this.events.push({ revision: this.revision, change });
  }

  /** The last snapshot and the registrations after a revision. */
  #changesAfter(after: number): readonly DiscoveryChange[] {
    const key = `${after} ${this.revision}`;
    const known = this.#changes.get(key);
    if (known !== undefined) return known;
    const later = this.events.filter(({ revision }) => revision > after)
      .map(({ change }) => change);
    const snapshot = later.findLast(({ kind }) => kind === "snapshot");
    const changes = later.filter((change) =>
      change.kind !== "snapshot" || change === snapshot
    );
    this.#changes.set(key, changes);
    return changes;
  }

  /** A client whose answers fill the link that they arrive on. */
  clientOn(link: Link): DiscoverySource {
    const answer = (after: number) => {
      const { revision } = this;
      const changes = this.#changesAfter(after);
      const bytes = sizeOf(changes, () => encode(changes));
      return new Promise<{ revision: number; changes: typeof changes }>(
        (resolve) => link.send(bytes, () => resolve({ revision, changes })),
      );
    };
    return {
      readAll: async () => {
        this.calls += 1;
        return ok(await answer(0));
      },
      watch: async (after, wait) => {
        this.calls += 1;
        const until = Date.now() + wait;
        while (this.revision <= after && Date.now() < until) {
          await new Promise((resolve) => setTimeout(resolve, 5));
        }
        return ok(await answer(after));
      },
      close: () => {},
    };
  }
}

class Fleet {
  readonly service: Service;
  readonly synchronizers: DiscoverySynchronizer[] = [];
  readonly #exchanges = new Map<Address, DiscoveryExchange>();
  readonly #domains = new Map<Address, string>();
  /** Links on which entries send, by address for frames. */
  readonly links = new Map<Address, Link>();
  /** Datagram addresses of entries that have died, but still count as live. */
  readonly dead = new Set<Address>();
  crossingDatagrams = 0;

  constructor(routes: number) {
    this.service = new Service(routes);
    const members = Array.from(
      { length: ENTRIES },
      (_, index): MemberRecord => ({
        incarnation: `entry-${index}`,
        callAddress: `10.0.0.${index}:80`,
        meshAddress: `10.0.0.${index}:81`,
        datagramAddress: `10.0.0.${index}:82`,
        failureDomain: `domain-${index % DOMAINS}`,
        state: "serving",
        counter: 1,
      }),
    );
    for (const member of members) this.#add(member, members);
  }

  #add(member: MemberRecord, members: readonly MemberRecord[]): void {
    const { incarnation: self, meshAddress, failureDomain } = member;
    const clock = () => Date.now();
    const discovery = new DiscoverySynchronizer({
      source: this.service.clientOn(new Link()),
      clock,
      random: () => 0.5,
      settings: { ...TUNING.discovery, validityMilliseconds: 2_100 },
      self,
      eligibleWatchers: () => members.map(({ incarnation }) => incarnation),
      onChange: () => {},
      onUpdate: (update) => exchange.sendUpdate(update),
      writeEvent: () => {},
      onServiceCall: () => {},
    });
    const exchange = new DiscoveryExchange({
      self,
      failureDomain,
      meshAddress,
      clock,
      messageClock: new MessageClock(self, clock),
      discovery,
      peers: () => members.filter((peer) => peer !== member),
      datagramSocket: {
        send: (to, datagram) => {
          for (const address of to) {
            this.#sendDatagram(member, address, datagram);
          }
        },
      },
      frameConnections: {
        send: (to, frame) => this.#sendFrame(meshAddress, to, frame),
      },
      writeEvent: () => {},
    });
    this.synchronizers.push(discovery);
    this.#exchanges.set(meshAddress, exchange);
    this.links.set(meshAddress, new Link());
    this.#domains.set(member.datagramAddress, failureDomain);
  }

  #sendDatagram(
    { meshAddress, datagramAddress, failureDomain }: MemberRecord,
    to: Address,
    datagram: FleetDatagram,
  ): void {
    if (datagram.kind !== "news") return;
    const domain = this.#domains.get(to);
    if (domain !== failureDomain) this.crossingDatagrams += 1;
    if (this.dead.has(to)) return;
    this.links.get(meshAddress)?.send(DATAGRAM_BYTES, () => {
      const receiver = this.#exchanges.get(to.replace(":82", ":81"));
      receiver?.receiveFreshnessDatagram(datagram, datagramAddress);
    });
  }

  #sendFrame(
    from: Address,
    to: readonly Address[],
    frame: FleetFrame,
  ): void {
    for (const address of to) {
      this.links.get(from)?.send(frameBytes(frame), () => {
        this.#exchanges.get(address)?.receiveFrame(
          frame,
          (reply) => this.#sendFrame(address, [from], reply),
        );
      });
    }
  }

  start(): void {
    for (const synchronizer of this.synchronizers) synchronizer.start();
  }

  stop(): void {
    for (const synchronizer of this.synchronizers) synchronizer.stop();
  }
}

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** Largest age of a change that an entry did not know of. */
async function largestAge(
  { service, synchronizers }: Fleet,
  onStep: (elapsed: number) => void,
): Promise<number> {
  const acknowledged: { revision: number; version: number; at: number }[] = [];
  let latest = 0;
  for (
    let elapsed = 0;
    elapsed < PLAY_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    onStep(elapsed);
    const { revision, snapshot: { version } } = service;
    if (revision !== acknowledged.at(-1)?.revision) {
      acknowledged.push({ revision, version, at: Date.now() });
    }
    await vi.advanceTimersByTimeAsync(STEP_MILLISECONDS);
    for (const { progress } of synchronizers) {
      const missed = acknowledged.find(({ revision, version }) =>
        progress.revision < revision || progress.snapshotVersion < version
      );
      if (missed === undefined) continue;
      latest = Math.max(latest, Date.now() - missed.at);
    }
  }
  return latest;
}

async function startedFleet(routes: number): Promise<Fleet> {
  const fleet = new Fleet(routes);
  fleet.start();
  await vi.advanceTimersByTimeAsync(START_MILLISECONDS);
  return fleet;
}

it("every entry acts on changes in time although a large configuration fills narrow links", async () => {
  const fleet = await startedFleet(LARGE_CONFIGURATION_ROUTES);
  const latest = await largestAge(fleet, (elapsed) => {
    if (elapsed >= CHANGING_MILLISECONDS) return;
    if (elapsed % 1_000 === 0) fleet.service.changeRoute(elapsed / 1_000);
    if (elapsed % 800 === 400) {
      fleet.service.register(Math.floor(elapsed / 800), "draining");
    }
  });
  fleet.stop();
  expect(latest).toBeLessThanOrEqual(EFFECT_MILLISECONDS);
});

it("every entry acts on changes in time although they wait in links that are full of other traffic", async () => {
  const fleet = await startedFleet(SMALL_CONFIGURATION_ROUTES);
  const latest = await largestAge(fleet, (elapsed) => {
    if (elapsed >= CHANGING_MILLISECONDS) return;
    if (elapsed % 400 === 0) {
      fleet.service.register(elapsed / 400, "draining");
    }
    for (const link of fleet.links.values()) {
      link.busyUntil = Date.now() + FULL_LINK_MILLISECONDS;
    }
  });
  fleet.stop();
  expect(latest).toBeLessThanOrEqual(EFFECT_MILLISECONDS);
});

it("freshness crosses to relays alone, and no entry calls the service although relays are dead", async () => {
  const fleet = await startedFleet(SMALL_CONFIGURATION_ROUTES);
  let killed = 0;
  fleet.synchronizers.forEach((synchronizer, index) => {
    if (synchronizer.isWatching || killed === DEAD_ENTRIES) return;
    killed += 1;
    synchronizer.stop();
    fleet.dead.add(`10.0.0.${index}:82`);
  });
  fleet.crossingDatagrams = fleet.service.calls = 0;
  await vi.advanceTimersByTimeAsync(PLAY_MILLISECONDS);
  fleet.stop();
  const seconds = PLAY_MILLISECONDS / 1_000;
  const { watcherCount } = TUNING.discovery;
  expect(fleet.service.calls).toBeLessThanOrEqual(watcherCount * seconds + 2);
  expect(fleet.crossingDatagrams)
    .toBeLessThanOrEqual(2 * fleet.service.calls);
});
