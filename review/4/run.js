/**
 * All machines of a zone are partitioned from all targets by resets. Most of
 * the zone's callers look up the same page. Compares how often first tries are
 * served at these machines and at the others, from `contact_s` after the begin
 * of the cut until its end.
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Clients } from "../stand_ins/clients.js";
import { HOST, makeConfiguration } from "../stand_ins/configuration.js";
import { Fleet } from "../stand_ins/fleet.js";
import { Cut, Gate } from "../stand_ins/gate.js";
import { Recorder } from "../stand_ins/recorder.js";
import { Store } from "../stand_ins/store.js";
import { Target } from "../stand_ins/target.js";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["a", "b", "c", "d"];
const ENTRIES = { a: 2, b: 2, c: 2, d: 3 };
const TARGETS_PER_ZONE = 3;
const CUT_ZONE = "d";
const CONTACT_MILLISECONDS = 3_000;
const CUT_MILLISECONDS = 8_000;
/**
 * Requests a second by zone: those of zone d as in lk-west-gampaha on the day
 * scale-1 of wsr-gateway, fewer in the others.
 */
const RATES = { a: 50, b: 50, c: 50, d: 156 };
/** `expiry-lookup` has 63 in 100 of the requests there. */
const LOOKUP_SHARE = 0.63;
const LOOKUP = { service: "look", workMilliseconds: 81 };
const BOOKING = { service: "desk", workMilliseconds: 110 };

const recorder = new Recorder();
const { record } = recorder;
const runs = new Map();
const store = new Store();
const targets = [];
const gates = [];
const tries = [];
const cut = new Cut();
let fleet;
let clients;

async function addTarget(id, zone, { service, workMilliseconds }) {
  const target = new Target({
    id,
    service,
    zone,
    workMilliseconds,
    runs,
    record,
  });
  await target.open("127.0.0.31");
  const gate = new Gate(target, cut);
  const address = await gate.open("127.0.0.32");
  store.put(`servers/${id}`, target.registration(address));
  targets.push(target);
  gates.push(gate);
}

/** One first try: a lookup of the zone's page, or a booking of its own. */
function sendTry(entry, number) {
  const isLookup = Math.random() < LOOKUP_SHARE;
  const options = isLookup
    ? { path: `/${LOOKUP.service}/read/site-${entry.zone}` }
    : {
      method: "POST",
      path: `/${BOOKING.service}/write/helmet-${number}`,
      body: `helmet ${number}`,
    };
  void clients.send(entry, { host: HOST, ...options })
    .then((end) => tries.push(end));
}

/** Sends the requests of a zone to its machines in turn. */
async function sendUntilStopped(zone, state) {
  const startedAt = performance.now();
  const entries = fleet.entries.filter((entry) => entry.zone === zone);
  for (let number = 0; !state.isStopped; number++) {
    sendTry(entries[number % entries.length], `${zone}-${number}`);
    const nextAt = startedAt + (number + 1) * 1_000 / RATES[zone];
    const wait = nextAt - performance.now();
    if (wait > 0) await sleep(wait);
  }
}

function count(from, until, isCut) {
  const counted = tries.filter(({ sentAt, entry }) =>
    sentAt >= from && sentAt < until &&
    (fleet.entries[entry].zone === CUT_ZONE) === isCut
  );
  const served = counted.filter(({ status }) => status === 200).length;
  return { sent: counted.length, served };
}

async function run() {
  const storeAddress = await store.open("127.0.0.30");
  store.put(
    "op/config",
    makeConfiguration(1, [LOOKUP.service, BOOKING.service]),
  );
  for (const zone of ZONES) {
    for (let index = 0; index < TARGETS_PER_ZONE; index++) {
      await addTarget(`i-look-${zone}${index}`, zone, LOOKUP);
      await addTarget(`i-desk-${zone}${index}`, zone, BOOKING);
    }
  }
  fleet = new Fleet({ storeAddress });
  await fleet.start(
    ZONES.flatMap((zone) => Array(ENTRIES[zone]).fill(zone)),
  );
  clients = new Clients(record);
  const state = { isStopped: false };
  const traffic = ZONES.map((zone) => sendUntilStopped(zone, state));
  await sleep(3_000);
  const cutEntries = fleet.entries.filter(({ zone }) => zone === CUT_ZONE);
  const begin = performance.now();
  record("cut-begins", { entries: cutEntries.map(({ index }) => index) });
  if (HAS_TROUBLE) await cut.begin("reset", cutEntries, gates);
  await sleep(CUT_MILLISECONDS);
  const end = performance.now();
  cut.end();
  record("cut-ends");
  await sleep(3_000);
  state.isStopped = true;
  await Promise.all(traffic);
  await clients.settle();
  const from = begin + CONTACT_MILLISECONDS;
  const atCut = count(from, end, true);
  const atOthers = count(from, end, false);
  const after = count(end, Infinity, true);
  const failedThere = atCut.sent - atCut.served;
  const allowed = 10 + (atCut.sent + atOthers.sent) / 50;
  const isRarelyServed = atCut.served / atCut.sent <
    2 / 3 * atOthers.served / atOthers.sent;
  const isBroken = isRarelyServed && failedThere > allowed;
  const text = `cut machines served ${atCut.served} of ${atCut.sent}, ` +
    `the others ${atOthers.served} of ${atOthers.sent}; failed there ` +
    `${failedThere}, allowed ${allowed}; in the seconds after the cut ` +
    `${after.served} of ${after.sent}`;
  record("total", { text });
  process.stdout.write(`${text}\n`);
  if (atOthers.served < atOthers.sent / 2) return 2;
  return isBroken ? 1 : 0;
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
for (const gate of gates) gate.close();
store.close();
recorder.write(fileURLToPath(new URL("record.txt", import.meta.url)));
process.exit(code);
