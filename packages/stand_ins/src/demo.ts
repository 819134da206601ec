/**
 * Runs a deployment on one instance: a caller, three entries, the platform and
 * the backend servers of the Suelas Unidas example. Each line is printed after a
 * check, in most cases against the ledgers of the backend servers.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { MarigoldfordClient } from "@marigoldford/client/client";
import type { BackendServerIntention } from "@marigoldford/kernel/intention";
import { readSheet } from "@marigoldford/kernel/sheet";
import { Fleet, type RunningBackend, type RunningEntry } from "./fleet.ts";
import { mintKeyOwnedBy, readEntryEndpoints } from "./entry_requests.ts";
import { sendRequest } from "./http_requests.ts";

const EXAMPLE_SHEET = fileURLToPath(
  new URL("../../../examples/suelas/sheet.csv", import.meta.url),
);
const FAILURE_DOMAINS: readonly string[] = ["norte-a", "norte-b", "norte-c"];
const BACKENDS_PER_PROCESS = 5;
const IN_FORCE_BOUND_MILLISECONDS = 3_000;
const LEAVING_PROPAGATION_MILLISECONDS = 3_000;
const POLL_MILLISECONDS = 50;

type EntryStatus = {
  readonly intentions: {
    readonly inForce: readonly { intention: string; revision: number }[];
    readonly refusedRows: readonly { intention: string; revision: number }[];
  };
};

class DemoFailure extends Error {}

class Demo {
  readonly fleet = new Fleet();
  readonly #startedAt = performance.now();
  #sheet = "";

  async run(): Promise<void> {
    await this.#start();
    const client = new MarigoldfordClient({
      seeds: this.fleet.entries.map(({ callAddress }) => callAddress),
    });
    await this.#showLookUp(client);
    await this.#showBooking();
    await this.#showKilledEntry(client);
    await this.#showDrainingServer(client);
    await this.#showSheetChange();
    await this.#showOutdatedSheet();
    await this.#showGracefulLeave();
    client.close();
  }

  describe(): string {
    const entries = this.fleet.entries.map(({ callAddress }) => callAddress);
    return [
      `platform: http://${this.fleet.platformAddress}`,
      ...entries.map((address) => `entry: http://${address}`),
      "try:",
      `  npx marigoldford status --entry ${entries[0]}`,
      `  npx marigoldford call /seguimiento/parcel/7 --entry ${entries[0]}`,
      `  npx marigoldford call /caja/payment --method POST --body '{"euros":9}'` +
      ` --entry ${entries[0]}`,
      "stop with Ctrl-C",
    ].join("\n");
  }

  async #start(): Promise<void> {
    await this.fleet.startPlatform();
    const text = readFileSync(EXAMPLE_SHEET, "utf8");
    const servers = readServers(text);
    const running = await this.fleet.startBackends(
      servers.map((server) => ({
        service: server.service,
        failureDomain: server.failureDomain,
        connections: server.connections,
        behaviour: { slots: server.slots, serviceMilliseconds: 15 },
      })),
      BACKENDS_PER_PROCESS,
    );
    this.#sheet = replaceAddresses(text, { servers, running });
    await this.fleet.publish(this.#sheet);
    for (const failureDomain of FAILURE_DOMAINS) {
      await this.fleet.startEntry(failureDomain);
    }
    await this.#waitFor("every entry lists all entries", async () => {
      const counts = await Promise.all(
        this.fleet.entries.map(async (entry) =>
          (await readEntryEndpoints(entry)).length
        ),
      );
      return counts.every((count) => count === FAILURE_DOMAINS.length);
    });
    this.#printLine(
      `${this.fleet.entries.length} entries serve ${running.length} backend ` +
        "servers of the Suelas Unidas example",
    );
  }

  async #showLookUp(client: MarigoldfordClient): Promise<void> {
    const path = "/seguimiento/parcel/7";
    const answer = await client.call({ method: "GET", path });
    check(answer.isOk(), "The look-up failed");
    const runs = await this.#runsOfPath(path);
    check(runs === 1, `The look-up ran ${runs} times`);
    this.#printLine("a look-up was answered; the ledgers count 1 run");
  }

  async #showBooking(): Promise<void> {
    const [first, second] = this.fleet.entries;
    const key = await mintKeyOwnedBy(first);
    const answer = await book(first, key);
    check(answer.status === 200, `The booking got status ${answer.status}`);
    check(
      await this.fleet.countRuns(key) === 1,
      "The booking did not run once",
    );
    this.#printLine("a booking was answered; the ledgers count 1 run");
    const retry = await book(second, key);
    check(retry.body === answer.body, "The retry got a different answer");
    check(await this.fleet.countRuns(key) === 1, "The booking ran twice");
    this.#printLine(
      "the same booking through another entry: same answer, 1 run",
    );
  }

  async #showKilledEntry(client: MarigoldfordClient): Promise<void> {
    const [killedEntry, other] = this.fleet.entries;
    const key = await mintKeyOwnedBy(killedEntry);
    await book(killedEntry, key);
    await killedEntry.child.kill();
    for (let call = 0; call < 20; call++) {
      const answer = await client.call({
        method: "GET",
        path: `/seguimiento/parcel/${call}`,
      });
      check(answer.isOk(), "A call failed after an entry was killed");
    }
    const retry = await book(other, key);
    const outcome = retry.headers["marigoldford-outcome"];
    check(
      outcome === "unknown",
      `The retry with a killed owner had the outcome ${outcome}`,
    );
    check(
      await this.fleet.countRuns(key) === 1,
      "A key of a killed entry ran twice",
    );
    this.#printLine(
      "an entry was killed: 20 look-ups were answered; a retry of its booking " +
        "has the outcome unknown and still 1 run",
    );
    this.fleet.entries.shift();
  }

  async #showDrainingServer(client: MarigoldfordClient): Promise<void> {
    const drainingServer = this.#serversOf("seguimiento")[0];
    await this.fleet.setBehaviour(drainingServer.address, { isLeaving: true });
    await sleep(LEAVING_PROPAGATION_MILLISECONDS);
    const before = await this.fleet.readLedger(drainingServer.address);
    for (let call = 0; call < 100; call++) {
      const answer = await client.call({
        method: "GET",
        path: `/seguimiento/after/${call}`,
      });
      check(answer.isOk(), "A call failed while a backend server left");
    }
    const after = await this.fleet.readLedger(drainingServer.address);
    const newArrivals = after.arrivals - before.arrivals;
    check(
      newArrivals === 0,
      `${newArrivals} calls reached the leaving backend server`,
    );
    this.#printLine(
      "a backend server drains: its ledger shows 0 of 100 further look-ups",
    );
  }

  async #showSheetChange(): Promise<void> {
    const retiringServer = this.#serversOf("caja")[0];
    const changedSheet = this.#sheet +
      `morning-fix,1,retiring,,,,,,${retiringServer.address},,,,,\n`;
    await this.fleet.publish(changedSheet);
    const startedAt = performance.now();
    await this.#waitFor(
      "the change is in force",
      () => this.#isInForceEverywhere("morning-fix", 1),
    );
    const elapsedMilliseconds = performance.now() - startedAt;
    check(
      elapsedMilliseconds < IN_FORCE_BOUND_MILLISECONDS,
      `The change took ${elapsedMilliseconds} ms`,
    );
    this.#printLine("a sheet change was in force at every entry within 3 s");
    await this.fleet.publish(
      changedSheet +
        `morning-fix,2,retiring,withdrawn,,,,,${retiringServer.address},,,,,\n`,
    );
    await this.#waitFor(
      "the withdrawal is in force",
      () => this.#isInForceEverywhere("morning-fix", 2),
    );
  }

  async #showOutdatedSheet(): Promise<void> {
    const retiringServer = this.#serversOf("caja")[0];
    await this.fleet.publish(
      this.#sheet +
        `morning-fix,1,retiring,,,,,,${retiringServer.address},,,,,\n`,
    );
    await this.#waitFor("the outdated row is refused", async () => {
      const statuses = await this.#statuses();
      return statuses.every(({ intentions }) =>
        intentions.refusedRows.some((row) => row.intention === "morning-fix")
      );
    });
    const isKept = await this.#isInForceEverywhere("morning-fix", 2);
    check(isKept, "An outdated sheet replaced the newer row");
    this.#printLine(
      "every entry refused the outdated row of a republished sheet",
    );
  }

  async #showGracefulLeave(): Promise<void> {
    const [leaver, other] = this.fleet.entries;
    const key = await mintKeyOwnedBy(leaver);
    const answer = await book(leaver, key);
    leaver.child.signal("SIGTERM");
    const code = await leaver.child.exited;
    check(code === 0, `The leaving entry exited with ${code}`);
    const retry = await book(other, key);
    check(retry.body === answer.body, "The successor gave a different answer");
    check(
      await this.fleet.countRuns(key) === 1,
      "A key ran twice after the hand-over",
    );
    this.#printLine(
      "an entry left: its successor gave the stored answer; 1 run",
    );
    this.fleet.entries.shift();
  }

  #serversOf(service: string): RunningBackend[] {
    return this.fleet.backends.filter((server) => server.service === service);
  }

  async #runsOfPath(path: string): Promise<number> {
    let runs = 0;
    for (const { address } of this.fleet.backends) {
      const ledger = await this.fleet.readLedger(address);
      for (const row of ledger.runs) if (row.path === path) runs += row.count;
    }
    return runs;
  }

  #statuses(): Promise<EntryStatus[]> {
    return Promise.all(
      this.fleet.entries.map((entry) =>
        this.fleet.readStatus<EntryStatus>(entry)
      ),
    );
  }

  async #isInForceEverywhere(
    intention: string,
    revision: number,
  ): Promise<boolean> {
    const statuses = await this.#statuses();
    return statuses.every(({ intentions }) =>
      intentions.inForce.some((row) =>
        row.intention === intention && row.revision === revision
      )
    );
  }

  async #waitFor(
    condition: string,
    holds: () => Promise<boolean>,
  ): Promise<void> {
    const end = performance.now() + 2 * IN_FORCE_BOUND_MILLISECONDS;
    while (performance.now() < end) {
      if (await holds()) return;
      await sleep(POLL_MILLISECONDS);
    }
    throw new DemoFailure(`Timed out waiting until ${condition}`);
  }

  #printLine(line: string): void {
    const seconds = (performance.now() - this.#startedAt) / 1_000;
    process.stdout.write(`${seconds.toFixed(1).padStart(5)} s  ok  ${line}\n`);
  }
}

function check(holds: boolean, failure: string): asserts holds {
  if (!holds) throw new DemoFailure(failure);
}

function readServers(text: string): BackendServerIntention[] {
  const sheet = readSheet(text, { valueName: "example", platformVersion: 1 });
  if (sheet.isErr()) throw new DemoFailure("The example sheet is malformed");
  return sheet.value.rows.flatMap(({ content }) =>
    content.kind === "backend-server" ? [content] : []
  );
}

type AddressReplacement = {
  readonly servers: readonly BackendServerIntention[];
  readonly running: readonly RunningBackend[];
};

/** Replaces the addresses of the example by those of the stand-ins. */
function replaceAddresses(
  text: string,
  replacement: AddressReplacement,
): string {
  let replaced = text;
  replacement.servers.forEach((server, index) => {
    const address = replacement.running[index].address;
    replaced = replaced.replaceAll(`,${server.address},`, `,${address},`);
  });
  return replaced;
}

function book(entry: RunningEntry, key: string) {
  return sendRequest(entry.callAddress, {
    method: "POST",
    path: "/caja/booking",
    headers: { "Idempotency-Key": key, "Content-Type": "application/json" },
    body: JSON.stringify({ boots: "brogues" }),
  });
}

async function main(): Promise<void> {
  const isKeptRunning = process.argv.includes("--keep");
  const demo = new Demo();
  try {
    await demo.run();
    if (isKeptRunning) {
      process.stdout.write(demo.describe() + "\n");
      await new Promise((resolve) => process.once("SIGINT", resolve));
    }
    process.stdout.write("Every line held\n");
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    process.stderr.write(`The demo failed: ${detail}\n`);
    process.exitCode = 1;
  } finally {
    await demo.fleet.stop();
  }
}

await main();
