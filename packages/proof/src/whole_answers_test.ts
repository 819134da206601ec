/**
 * Guards against answers that are mixed up between callers, truncated without
 * notice, buffered whole in memory or lost on a stalled connection.
 */
import { afterEach, describe, expect, test } from "vitest";
import { request } from "node:http";
import type { Fleet } from "@marigoldford/stand_ins/fleet";
import { Relay } from "@marigoldford/stand_ins/relay";
import { sendRequest } from "@marigoldford/stand_ins/http_requests";
import { serviceRuleRow } from "@marigoldford/stand_ins/sheet_format";
import { setTimeout as sleep } from "node:timers/promises";
import {
  deploy,
  sendIdempotentCall,
  sumLedgerCounts,
  waitUntil,
} from "./deployment.ts";

const LONG_BODY_BYTES = 100_000_000;
const MAXIMUM_MEMORY_GROWTH_BYTES = 60_000_000;

type MemoryStatus = { readonly entry: { readonly memoryBytes: number } };

describe("each caller receives the complete answer to its own request", () => {
  let fleet: Fleet;
  afterEach(() => fleet.stop());

  test("many concurrent calls, some of them cancelled", async () => {
    fleet = await deploy({ entries: 2, backends: 3 });
    const calls = Array.from({ length: 300 }, async (_, index) => {
      const entry = fleet.entries[index % 2];
      const path = `/desk/${index}?milliseconds=${1 + index % 40}`;
      if (index % 5 === 0) {
        await sendRequest(entry.callAddress, { path, timeoutMilliseconds: 5 })
          .catch(() => undefined);
        return;
      }
      const answer = await sendIdempotentCall(entry, path, {
        "Marigoldford-Deadline-Milliseconds": "10000",
      });
      expect(JSON.parse(answer.body).path).toBe(path);
    });
    await Promise.all(calls);
  });

  test("a truncated answer never appears to be complete", async () => {
    fleet = await deploy({
      entries: 1,
      backends: 1,
      behaviour: { cutsAnswers: true },
    });
    const truncated = sendRequest(fleet.entries[0].callAddress, {
      path: "/desk/1",
    });
    await expect(truncated).rejects.toThrow();
  });

  test("an answer that breaks off in its head is not told as a success", async () => {
    fleet = await deploy({
      entries: 1,
      backends: 1,
      behaviour: { cutsHeads: true },
    });
    const answer = await sendIdempotentCall(fleet.entries[0], "/desk/1");
    expect(answer.status).toBeGreaterThanOrEqual(500);
    expect(answer.outcome).toBe("unknown");
  });

  test("a body larger than any buffer is streamed in bounded memory", async () => {
    fleet = await deploy({ entries: 1, backends: 1 });
    const [entry] = fleet.entries;
    await sendIdempotentCall(entry, "/desk/warm");
    const before = await fleet.readStatus<MemoryStatus>(entry);
    const bytes = await readSlowly(entry.callAddress, LONG_BODY_BYTES);
    const after = await fleet.readStatus<MemoryStatus>(entry);
    expect(bytes).toBe(LONG_BODY_BYTES);
    const growth = after.entry.memoryBytes - before.entry.memoryBytes;
    expect(growth).toBeLessThan(MAXIMUM_MEMORY_GROWTH_BYTES);
  });

  test("calls are answered although a connection to a backend server stalls", async () => {
    const relay = new Relay();
    const address = await relay.listen();
    fleet = await deploy({
      entries: 1,
      backends: 2,
      extraRows: [
        serviceRuleRow("two"),
        {
          intention: "relayed",
          revision: 1,
          kind: "backend-server",
          service: "desk",
          address,
          failure_domain: "c",
          slots: 2,
          connections: 250,
        },
      ],
    });
    relay.setTarget(fleet.backends[0].address);
    const [entry] = fleet.entries;
    for (let call = 0; call < 30; call++) {
      await sendIdempotentCall(entry, `/desk/${call}`);
    }
    // Connections that are open now stay silent; new ones are relayed.
    relay.setMode("silent");
    relay.setMode("pass");
    let answered = 0;
    for (let call = 0; call < 30; call++) {
      const answer = await sendIdempotentCall(entry, `/desk/silent/${call}`);
      if (answer.outcome === "answered") answered += 1;
    }
    expect(answered).toBe(30);
    relay.close();
  });

  test("a caller that disconnects cancels its idempotent call", async () => {
    fleet = await deploy({ entries: 1, backends: 1 });
    const [entry] = fleet.entries;
    const occupying = [1, 2].map((call) =>
      sendIdempotentCall(entry, `/desk/busy/${call}?milliseconds=400`)
    );
    await sleep(50);
    const abandoned = Array.from(
      { length: 2 },
      (_, call) =>
        sendRequest(entry.callAddress, {
          path: `/desk/gone/${call}`,
          timeoutMilliseconds: 100,
        }).catch(() => undefined),
    );
    await Promise.all([...occupying, ...abandoned]);
    await waitUntil(async () => await sumLedgerCounts(fleet, "cancelled") > 0);
  });
});

/** Reads a long answer after a pause of 1 s, as a slow caller would. */
function readSlowly(address: string, bytes: number): Promise<number> {
  return new Promise((resolve, reject) => {
    const sent = request(`http://${address}/desk/long?bytes=${bytes}`, {
      agent: false,
      headers: { "Marigoldford-Deadline-Milliseconds": "30000" },
    }, (response) => {
      let received = 0;
      response.pause();
      setTimeout(() => response.resume(), 1_000);
      response.on("data", (chunk) => received += chunk.length);
      response.once("error", reject);
      response.once("end", () => resolve(received));
    });
    sent.once("error", reject);
    sent.end();
  });
}
