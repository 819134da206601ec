/**
 * Tests how entries pass on slots of servers, with entries that exchange their
 * datagrams in memory.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { QueuedRequest } from "@marigoldford/kernel/request_queue";
import { ServerLoad } from "@marigoldford/kernel/server_load";
import {
  decodeDatagram,
  encodeDatagram,
  type FleetDatagram,
} from "./fleet_messages.ts";
import { ServiceQueue } from "./service_queue.ts";
import { SlotExchange } from "./slot_exchange.ts";

const SERVICE = "web";
const ENTRIES = 6;

type Entry = {
  readonly record: MemberRecord;
  readonly exchange: SlotExchange;
  readonly queue: ServiceQueue;
  readonly server: ServerLoad;
  readonly dequeued: string[];
};

let entries: Entry[];
/** Addresses whose datagrams are lost. */
let unreachable: Set<string>;

function makeRecord(index: number): MemberRecord {
  return {
    incarnation: `entry-${index}`,
    callAddress: `10.0.0.${index}:1`,
    meshAddress: `10.0.0.${index}:2`,
    datagramAddress: `10.0.0.${index}:3`,
    failureDomain: index < ENTRIES / 2 ? "north" : "south",
    state: "serving",
    counter: 1,
  };
}

function makeEntry(
  record: MemberRecord,
  members: readonly MemberRecord[],
): Entry {
  const clock = () => performance.now();
  const server = new ServerLoad({
    id: "server",
    service: SERVICE,
    address: "10.1.0.1:80",
    failureDomain: "north",
    slots: 3,
    state: "ready",
    warmUpLeftMilliseconds: 0,
    bornAtMilliseconds: 1,
    sequence: 1,
  }, clock());
  const queue = new ServiceQueue(
    clock,
    () => exchange.recordWaiting(SERVICE),
  );
  const exchange = new SlotExchange({
    clock,
    self: record,
    members: () => members,
    isActive: () => true,
    servers: { find: () => ({ load: server }) as never },
    services: { queueOf: () => queue },
    metrics: { incrementCounter: () => {} },
    socket: {
      send: (to, datagram: FleetDatagram) => {
        const decoded = decodeDatagram(encodeDatagram(datagram))
          ._unsafeUnwrap();
        for (const address of to) {
          if (unreachable.has(address) || decoded.kind !== "slots") continue;
          const receiver = entries.find(({ record }) =>
            record.datagramAddress === address
          );
          receiver?.exchange.receive(decoded, record.datagramAddress);
        }
      },
    },
  });
  return { record, exchange, queue, server, dequeued: [] };
}

/** Queues a request that stays queued until a slot is granted. */
function wait(entry: Entry, name: string, priority = 1): void {
  const now = performance.now();
  const request: QueuedRequest = {
    priority,
    serviceTimeMilliseconds: 100,
    objectiveMilliseconds: 1_000,
    arrivedAtMilliseconds: now,
    objectiveAtMilliseconds: now + 1_000,
    deadlineAtMilliseconds: now + 2_000,
    isCallerRetry: false,
    onDequeued: () => {
      const age = entry.server.reportAgeMilliseconds(performance.now());
      if (age < 10) entry.dequeued.push(name);
      else entry.queue.add(request);
    },
  };
  entry.queue.add(request);
}

/** The server answers a request of the entry. */
function answer(entry: Entry, { running = 1, slowdown = 1 } = {}): void {
  const now = performance.now();
  const report = { running, waiting: 0, slots: 3, slowdown };
  entry.server.recordReport(report, now);
  entry.exchange.offer(entry.server);
}

/** Makes an entry offer slots, as one of its own requests had to wait. */
async function makeOffering(entry: Entry): Promise<void> {
  wait(entry, "own");
  answer(entry);
  entry.queue.recordRoom();
  await vi.advanceTimersByTimeAsync(200);
}

beforeEach(() => {
  vi.useFakeTimers();
  unreachable = new Set();
  const members = Array.from({ length: ENTRIES }, (_, at) => makeRecord(at));
  entries = members.map((record) => makeEntry(record, members));
});

afterEach(() => {
  for (const { exchange } of entries) exchange.stop();
  vi.useRealTimers();
});

describe("a slot that becomes free at an entry without waiting requests", () => {
  it("is used by an entry whose request waits", async () => {
    const [offering, waiting] = entries;
    await makeOffering(offering);
    wait(waiting, "waiting");
    answer(offering);
    expect(waiting.dequeued).toEqual(["waiting"]);
  });

  it("goes to the most urgent request of the failure domain", async () => {
    const [offering, usual, urgent] = entries;
    await makeOffering(offering);
    wait(usual, "usual");
    wait(urgent, "urgent", 0);
    answer(offering);
    expect([usual.dequeued, urgent.dequeued]).toEqual([[], ["urgent"]]);
  });

  it("reaches another failure domain if a request waits there for longer", async () => {
    const [offering] = entries;
    const distant = entries[ENTRIES - 1];
    await makeOffering(offering);
    wait(distant, "distant");
    answer(offering);
    expect(distant.dequeued).toEqual([]);
    await vi.advanceTimersByTimeAsync(60);
    answer(offering);
    expect(distant.dequeued).toEqual(["distant"]);
  });

  it("is not offered while the server has no room", async () => {
    const [offering, waiting] = entries;
    await makeOffering(offering);
    wait(waiting, "waiting");
    answer(offering, { running: 2 });
    expect(waiting.dequeued).toEqual([]);
  });

  // Guards against: a broker that was killed keeps requests waiting that find
  // room by themselves.
  it("costs a waiting request nothing if messages are lost", async () => {
    const [offering, waiting] = entries;
    await makeOffering(offering);
    for (const { record } of entries) unreachable.add(record.datagramAddress);
    wait(waiting, "waiting");
    answer(offering);
    answer(waiting);
    await vi.advanceTimersByTimeAsync(30);
    expect(waiting.dequeued).toEqual(["waiting"]);
  });
});
