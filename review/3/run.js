/**
 * A target leaves while the only machine is partitioned from the store. All
 * answers of the target say `Server-Leaving: 1`. Counts the requests that reach
 * it later than `drain_s` after the machine has passed on such an answer.
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Clients } from "../stand_ins/clients.js";
import { HOST, makeConfiguration } from "../stand_ins/configuration.js";
import { Fleet } from "../stand_ins/fleet.js";
import { Recorder } from "../stand_ins/recorder.js";
import { Store } from "../stand_ins/store.js";
import { Target } from "../stand_ins/target.js";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SERVICE = "desk";
const ZONES = ["a", "b", "c", "d"];
const DRAIN_MILLISECONDS = 2_000;
/** "And a little longer", after `drain_s`, a leaving target still serves. */
const LONGER_MILLISECONDS = 1_000;
/** `core_cut` of the small site files lasts 5.5 s. */
const CUT_MILLISECONDS = 5_500;
const SEND_INTERVAL_MILLISECONDS = 8;

const recorder = new Recorder();
const { record } = recorder;
const runs = new Map();
const sentAt = new Map();
/** When the machine first passed on an answer with `Server-Leaving`. */
let leavingPassedOnAt = Infinity;
let lateArrivals = 0;
let lostRuns = 0;

const store = new Store();
const targets = [];
let fleet;
let clients;

function onArrival(id) {
  if (sentAt.get(id) > leavingPassedOnAt + DRAIN_MILLISECONDS) {
    lateArrivals += 1;
    record("late-arrival", { id });
  }
}

async function run() {
  const storeAddress = await store.open("127.0.0.30");
  store.put("op/config", makeConfiguration(1, [SERVICE]));
  for (let index = 0; index < 4; index++) {
    const target = new Target({
      id: `i-${index}`,
      service: SERVICE,
      zone: ZONES[index],
      workMilliseconds: 110,
      runs,
      record,
    });
    await target.open("127.0.0.31");
    store.put(`servers/${target.id}`, target.registration());
    targets.push(target);
  }
  fleet = new Fleet({ storeAddress });
  await fleet.start(["a"]);
  clients = new Clients(record);
  const [entry] = fleet.entries;
  let isSending = true;
  const traffic = (async () => {
    while (isSending) {
      const sent = performance.now();
      const end = clients.send(entry, {
        host: HOST,
        method: "POST",
        path: `/${SERVICE}/write/1`,
        deadline: 1_500,
        body: "boots",
      });
      // `send` numbers the requests before it returns.
      void end.then(({ id, status, headers }) => {
        if (headers?.["server-leaving"] !== undefined) {
          leavingPassedOnAt = Math.min(leavingPassedOnAt, performance.now());
        }
        if (status !== 200 && runs.has(id)) {
          lostRuns += 1;
          record("run-without-its-answer", { id, status });
        }
      });
      sentAt.set(clients.lastId, sent);
      await sleep(SEND_INTERVAL_MILLISECONDS);
    }
  })();
  await sleep(1_500);
  if (HAS_TROUBLE) {
    record("store-cut");
    store.setMode("silent");
  }
  await sleep(1_000);
  const [leaving] = targets;
  leaving.onArrival = onArrival;
  leaving.isLeaving = true;
  record("leaves", { target: leaving.id });
  store.put(`servers/${leaving.id}`, leaving.registration());
  await sleep(DRAIN_MILLISECONDS + LONGER_MILLISECONDS);
  record("exits", { target: leaving.id });
  leaving.exit();
  store.remove(`servers/${leaving.id}`);
  await sleep(
    CUT_MILLISECONDS - 1_000 - DRAIN_MILLISECONDS -
      LONGER_MILLISECONDS,
  );
  store.setMode("answering");
  record("store-back");
  await sleep(1_000);
  isSending = false;
  await traffic;
  await clients.settle();
  record("total", { sent: sentAt.size, lateArrivals, lostRuns });
  process.stdout.write(
    `sent ${sentAt.size}, late arrivals ${lateArrivals}, ` +
      `runs without their answer ${lostRuns}\n`,
  );
  if (!Number.isFinite(leavingPassedOnAt)) return 2;
  return lateArrivals > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
}
clients?.close();
await fleet?.stop();
for (const target of targets) target.exit();
store.close();
recorder.write(fileURLToPath(new URL("record.txt", import.meta.url)));
process.exit(code);
