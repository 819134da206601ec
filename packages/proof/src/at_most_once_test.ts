/**
 * Guards against a second run of a protected call that is resent with its key
 * while its owner crashes, restarts, pauses, is partitioned or leaves.
 */
import { afterEach, describe, expect, test } from "vitest";
import type { Fleet } from "@marigoldford/stand_ins/fleet";
import { Relay } from "@marigoldford/stand_ins/relay";
import { setTimeout as sleep } from "node:timers/promises";
import {
  mintKeyOwnedBy,
  readEntryEndpoints,
} from "@marigoldford/stand_ins/entry_requests";
import {
  deploy,
  sendProtectedCall,
  SHORT_SHUTDOWN_SETTINGS,
  waitUntil,
} from "./deployment.ts";

const SLOW_PATH = "/desk/book?milliseconds=1500";

describe("a protected call runs at most once", () => {
  let fleet: Fleet;
  afterEach(() => fleet.stop());

  test("when resent through its owner and another entry, during and after the run", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    const [owner, other] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    const path = "/desk/book?milliseconds=300";
    const answers = await Promise.all([
      sendProtectedCall(owner, { key, path }),
      sendProtectedCall(owner, { key, path }),
      sendProtectedCall(other, { key, path }),
    ]);
    const late = await sendProtectedCall(other, { key, path });
    const bodies = new Set([...answers, late].map(({ body }) => body));
    expect(bodies.size).toBe(1);
    expect(late.outcome).toBe("answered");
    expect(await fleet.countRuns(key)).toBe(1);
  });

  test("when first sent through an entry that does not own its key", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    const [owner, other] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    expect((await sendProtectedCall(other, { key })).outcome).toBe("answered");
    expect((await sendProtectedCall(owner, { key })).outcome).toBe("answered");
    expect(await fleet.countRuns(key)).toBe(1);
  });

  test("when the owner is killed during the run", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    const [owner, other] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    const first = sendProtectedCall(owner, { key, path: SLOW_PATH }).catch(() =>
      undefined
    );
    await waitUntil(async () => await fleet.countRuns(key) === 1);
    await owner.child.kill();
    await first;
    const resend = await sendProtectedCall(other, { key, path: SLOW_PATH });
    expect(resend.outcome).toBe("unknown");
    expect(await fleet.countRuns(key)).toBe(1);
  });

  test("when the owner is replaced at the same address", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    const [owner, other] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    await sendProtectedCall(owner, { key });
    await owner.child.kill();
    const { callAddress, meshAddress } = owner;
    const replacement = await fleet.startEntry("a", {
      instance: { callAddress, meshAddress },
    });
    expect((await sendProtectedCall(replacement, { key })).outcome).toBe(
      "unknown",
    );
    expect((await sendProtectedCall(other, { key })).outcome).toBe("unknown");
    expect(await fleet.countRuns(key)).toBe(1);
  });

  test("when the owner is paused past the deadline and resumes", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    const [owner, other] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    const path = "/desk/book?milliseconds=400";
    const first = sendProtectedCall(owner, {
      key,
      path,
      deadlineMilliseconds: 600,
    });
    await waitUntil(async () => await fleet.countRuns(key) === 1);
    owner.child.signal("SIGSTOP");
    const resend = await sendProtectedCall(other, {
      key,
      path,
      deadlineMilliseconds: 500,
    });
    expect(resend.outcome).toBe("unknown");
    await sleep(2_000);
    owner.child.signal("SIGCONT");
    await first.catch(() => undefined);
    await waitUntil(async () =>
      (await sendProtectedCall(other, { key, path })).outcome !== ""
    );
    expect(await fleet.countRuns(key)).toBe(1);
  });

  test("when the owner is partitioned from its peers", async () => {
    const relay = new Relay();
    const advertisedMeshAddress = await relay.listen();
    fleet = await deploy({ entries: 1, backends: 2 });
    const [other] = fleet.entries;
    const owner = await fleet.startEntry("b", {
      instance: { advertisedMeshAddress },
    });
    relay.setTarget(owner.meshListenAddress);
    await waitUntil(async () => (await readEntryEndpoints(other)).length === 2);
    const key = await mintKeyOwnedBy(owner);
    relay.setMode("cut");
    const resend = await sendProtectedCall(other, {
      key,
      deadlineMilliseconds: 800,
    });
    expect(resend.reason).toBe("owner-unreachable");
    expect(resend.outcome).toBe("unknown");
    expect((await sendProtectedCall(owner, { key })).outcome).toBe("answered");
    relay.setMode("pass");
    await waitUntil(async () =>
      (await sendProtectedCall(other, { key })).outcome === "answered"
    );
    expect(await fleet.countRuns(key)).toBe(1);
    relay.close();
  });

  test("when the owner leaves and hands its table over", async () => {
    fleet = await deploy({
      entries: 3,
      backends: 2,
      settings: SHORT_SHUTDOWN_SETTINGS,
    });
    const [owner, second, third] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    const unusedKey = await mintKeyOwnedBy(owner);
    const answer = await sendProtectedCall(owner, { key });
    owner.child.signal("SIGTERM");
    expect(await owner.child.exited).toBe(0);
    for (const entry of [second, third]) {
      const resend = await sendProtectedCall(entry, { key });
      expect(resend.body).toBe(answer.body);
      const unusedKeyAnswer = await sendProtectedCall(entry, {
        key: unusedKey,
      });
      expect([unusedKeyAnswer.outcome, unusedKeyAnswer.reason]).toEqual([
        "not-run",
        "key-closed",
      ]);
    }
    expect(await fleet.countRuns(key)).toBe(1);
    expect(await fleet.countRuns(unusedKey)).toBe(0);
  });

  test("when the successor leaves as well", async () => {
    fleet = await deploy({
      entries: 3,
      backends: 2,
      settings: SHORT_SHUTDOWN_SETTINGS,
    });
    const [owner, second, third] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    const answer = await sendProtectedCall(owner, { key });
    owner.child.signal("SIGTERM");
    await owner.child.exited;
    await waitUntil(async () => (await readEntryEndpoints(third)).length === 2);
    second.child.signal("SIGTERM");
    expect(await second.child.exited).toBe(0);
    expect((await sendProtectedCall(third, { key })).body).toBe(answer.body);
    expect(await fleet.countRuns(key)).toBe(1);
  });

  test("when the answer is lost after the run", async () => {
    fleet = await deploy({
      entries: 2,
      backends: 2,
      behaviour: { losesAnswers: true },
    });
    const [owner, other] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    expect((await sendProtectedCall(owner, { key })).outcome).toBe("unknown");
    expect((await sendProtectedCall(other, { key })).outcome).toBe("unknown");
    expect((await sendProtectedCall(owner, { key })).outcome).toBe("unknown");
    expect(await fleet.countRuns(key)).toBe(1);
  });

  test("when the answer arrives after the deadline and is replayed on a resend", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    const [owner, other] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    const path = "/desk/book?milliseconds=700";
    const early = await sendProtectedCall(owner, {
      key,
      path,
      deadlineMilliseconds: 300,
    });
    expect(early.reason).toBe("deadline-exceeded");
    const late = await sendProtectedCall(other, {
      key,
      path,
      deadlineMilliseconds: 2_000,
    });
    expect(late.outcome).toBe("answered");
    expect(await fleet.countRuns(key)).toBe(1);
  });
});
