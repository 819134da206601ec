import { afterEach, expect, test } from "vitest";
import { EntryDirectory } from "@marigoldford/kernel/entry_directory";
import { leastInFlightPolicy } from "@marigoldford/kernel/baseline_policies";
import { RoutingTable } from "@marigoldford/kernel/routing_table";
import { readSheet } from "@marigoldford/kernel/sheet";
import { HealthPoller } from "./health_poller.ts";
import { EntryMetrics } from "./metrics.ts";
import { DEFAULT_OPTIONS } from "./options.ts";
import { ServicePools } from "./service_pools.ts";

const HEADER = "intention,revision,kind,service,address,failure_domain," +
  "slots,connections,name,value\n";
const SERVERS = Array.from(
  { length: 20 },
  (_, index) =>
    `s${index},1,backend-server,desk,127.0.0.1:${index + 1},a,2,250,,\n`,
).join("");
const TICKS = 40;
const TICK_INTERVAL_MILLISECONDS = 250;

const time = { now: 0 };
const clock = () => time.now;

function tableOf(share: string): RoutingTable {
  const budget = `b,1,budget,desk,,,,,probe-slot-share,${share}\n`;
  const source = { valueName: "sheet", platformVersion: 1 };
  const sheet = readSheet(HEADER + SERVERS + budget, source);
  return new RoutingTable(sheet._unsafeUnwrap().rows);
}

afterEach(() => time.now = 0);

// The poller caches its assignment by entries and addresses; the budget must not
// be cached with it, or a row that changes only the budget has no effect.
test("a changed poll budget takes effect without a change of membership", () => {
  const metrics = new EntryMetrics();
  const pools = new ServicePools({
    clock,
    random: () => 0,
    policy: leastInFlightPolicy,
    defaults: DEFAULT_OPTIONS.calls,
    isLeaving: () => false,
  });
  const poller = new HealthPoller({
    settings: DEFAULT_OPTIONS.health,
    entriesCeiling: 1,
    clock,
    random: () => 0,
    incarnation: "self",
    directory: new EntryDirectory({
      clock,
      failureTimeoutMilliseconds: () => 1_000,
      removalMilliseconds: 1_000,
    }),
    pools,
    metrics,
    onLeaving: () => {},
  });
  function pollsDuring(share: string): number {
    pools.update(tableOf(share));
    const before = metrics.healthPolls;
    for (let tick = 0; tick < TICKS; tick++) {
      time.now += TICK_INTERVAL_MILLISECONDS;
      poller.tick();
    }
    return metrics.healthPolls - before;
  }
  expect(pollsDuring("0.01")).toBeGreaterThan(20);
  expect(pollsDuring("0")).toBeLessThanOrEqual(1);
});
