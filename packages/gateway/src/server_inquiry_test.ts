/**
 * Tests that entries find out together whether a server is down.
 */
import { beforeEach, expect, it } from "vitest";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { ServerRegistration } from "@marigoldford/kernel/routing_snapshot";
import { ServerLoad } from "@marigoldford/kernel/server_load";
import {
  decodeDatagram,
  encodeDatagram,
  type FleetDatagram,
} from "./fleet_messages.ts";
import type { ProbeResult } from "./prober.ts";
import { ServerInquiry } from "./server_inquiry.ts";

type Entry = {
  readonly name: string;
  readonly inquiry: ServerInquiry;
  readonly results: Map<string, ProbeResult>;
  unreached: string[];
  /** Whether it takes part in inquiries; the build before does not. */
  answers: boolean;
};

let entries: Map<string, Entry>;
let loads: Map<string, ServerLoad>;

beforeEach(() => {
  entries = new Map();
  loads = new Map(["a", "b", "c"].map((id) => [
    id,
    new ServerLoad(
      { id, service: "web", warmUpLeftMilliseconds: 0 } as ServerRegistration,
      0,
    ),
  ]));
});

/** Adds an entry whose probes of server `a` end like this. */
function addEntry(name: string, result: ProbeResult): Entry {
  const results = new Map<string, ProbeResult>([["a", result]]);
  const servers = {
    find: (id: string) => {
      const load = loads.get(id);
      return load && { load, connections: undefined as never, tag: 0 };
    },
    all: () =>
      [...loads.values()].map((load) => ({
        load,
        connections: undefined as never,
        tag: 0,
      })).values(),
  };
  const entry: Entry = {
    name,
    results,
    unreached: [],
    answers: true,
    inquiry: new ServerInquiry({
      self: name,
      failureDomain: "zone",
      clock: () => performance.now(),
      random: Math.random,
      servers,
      prober: {
        check: ({ registration }) =>
          Promise.resolve(results.get(registration.id) ?? "answered"),
      },
      peers: () =>
        [...entries.keys()].filter((other) => other !== name).map((other) =>
          ({
            incarnation: other,
            datagramAddress: other,
            failureDomain: "zone",
            state: "serving",
          }) as MemberRecord
        ),
      socket: { send: (to, datagram) => deliver(name, to, datagram) },
      unreached: () => entry.unreached,
      writeEvent: () => {},
    }),
  };
  entries.set(name, entry);
  return entry;
}

function deliver(
  from: string,
  to: readonly string[],
  datagram: FleetDatagram,
): void {
  const read = decodeDatagram(encodeDatagram(datagram))._unsafeUnwrap();
  for (const name of to) {
    const entry = entries.get(name);
    if (!entry?.answers || read.kind !== "reach") continue;
    queueMicrotask(() => entry.inquiry.receive(read, from));
  }
}

function isDown(entry: Entry): Promise<boolean> {
  return entry.inquiry.isDown(loads.get("a")!);
}

it("a server that a peer reaches is not down", async () => {
  const cut = addEntry("cut", "failed");
  addEntry("other", "failed");
  addEntry("reaching", "answered");
  expect(await isDown(cut)).toBe(false);
});

it("a server that no peer reaches is down", async () => {
  const entry = addEntry("entry", "failed");
  addEntry("peer-1", "failed");
  addEntry("peer-2", "failed");
  expect(await isDown(entry)).toBe(true);
});

// Guards against: entries that are cut together confirm each other that all
// servers are down.
it("a peer that reaches no server says nothing about one", async () => {
  const entry = addEntry("entry", "failed");
  for (const id of ["b", "c"]) entry.results.set(id, "failed");
  const peer = addEntry("peer", "failed");
  peer.unreached = ["web"];
  expect(await isDown(entry)).toBe(false);
  entry.results.set("b", "answered");
  expect(await isDown(entry)).toBe(true);
});

it("a server that is silent, to this entry or to its peers, is not down", async () => {
  const entry = addEntry("entry", "silent");
  const peer = addEntry("peer", "failed");
  expect(await isDown(entry)).toBe(false);
  entry.results.set("a", "failed");
  for (const id of ["b", "c"]) entry.results.set(id, "silent");
  peer.results.set("a", "silent");
  expect(await isDown(entry)).toBe(false);
});

// Guards against: a request that silences each server that runs it is sent on
// without end, as silence alone never counts.
it("a server that was silent until a request had no time left is down unless an entry reaches it", async () => {
  const entry = addEntry("entry", "silent");
  const peer = addEntry("peer", "silent");
  const isDownAfterSilence = () =>
    entry.inquiry.isDown(loads.get("a")!, "silence");
  expect(await isDownAfterSilence()).toBe(true);
  peer.results.set("a", "answered");
  expect(await isDownAfterSilence()).toBe(false);
  peer.results.set("a", "silent");
  entry.results.set("a", "answered");
  expect(await isDownAfterSilence()).toBe(false);
});

// Guards against: two inquiries about a server take each other's answers, and
// the server counts as down although a peer reaches it.
it("inquiries after a break and after silence both get the findings", async () => {
  const entry = addEntry("entry", "failed");
  addEntry("peer", "answered");
  const server = loads.get("a")!;
  const results = await Promise.all([
    entry.inquiry.isDown(server, "broken-connection"),
    entry.inquiry.isDown(server, "silence"),
  ]);
  expect(results).toEqual([false, false]);
});

it("without peers that answer, another server that is reached decides", async () => {
  const entry = addEntry("entry", "failed");
  expect(await isDown(entry)).toBe(true);
  for (const id of ["b", "c"]) entry.results.set(id, "failed");
  expect(await isDown(entry)).toBe(false);
});

// Guards against: during an upgrade, entries of the build before do not answer.
it("peers that do not answer are waited for in bounded time, and their load reports count", async () => {
  const entry = addEntry("entry", "failed");
  addEntry("before", "answered").answers = false;
  expect(await isDown(entry)).toBe(true);
  const check = isDown(entry);
  const report = { running: 0, waiting: 0, slots: 1, slowdown: 1 };
  setTimeout(
    () => loads.get("a")!.recordReport(report, performance.now()),
    100,
  );
  expect(await check).toBe(false);
});
