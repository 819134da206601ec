/**
 * Guards against an outcome that contradicts the ledgers, in random schedules
 * of faults with resends of the same keys through all entries.
 */
import process from "node:process";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { afterEach, describe, expect, test } from "vitest";
import type { Fleet, RunningEntry } from "@marigoldford/stand_ins/fleet";
import { setTimeout as sleep } from "node:timers/promises";
import { mintKeyOwnedBy } from "@marigoldford/stand_ins/entry_requests";
import {
  deploy,
  failureDomainOf,
  sendProtectedCall,
  SHORT_SHUTDOWN_SETTINGS,
} from "./deployment.ts";

/**
 * To run a single seed:
 * `SCHEDULE_SEED=7 npx vitest run packages/proof/src/schedule_test.ts`
 */
const SEEDS: readonly number[] = process.env.SCHEDULE_SEED === undefined
  ? [1, 2, 3]
  : [Number(process.env.SCHEDULE_SEED)];
const STEPS = 14;
const ACTIONS_PER_STEP = 4;
const MINIMUM_ENTRIES = 3;

const FAULTS = [
  "kill",
  "pause",
  "leave",
  "platform-down",
  "platform-up",
  "lose-answers",
  "keep-answers",
  "shed",
  "none",
] as const;
type Fault = typeof FAULTS[number];

type Action = { readonly key: string; readonly outcomes: Set<string> };

class FaultSchedule {
  readonly fleet: Fleet;
  readonly actions: Action[] = [];
  readonly #nextInteger: (maximum: number) => number;
  #pauses: Promise<void>[] = [];

  constructor(fleet: Fleet, nextInteger: (maximum: number) => number) {
    this.fleet = fleet;
    this.#nextInteger = nextInteger;
  }

  async run(): Promise<void> {
    for (let step = 0; step < STEPS; step++) {
      const fault = FAULTS[this.#nextInteger(FAULTS.length - 1)];
      const newActions = Array.from(
        { length: ACTIONS_PER_STEP },
        () => this.#startAction(),
      );
      const resends = this.actions.slice(-6).map((action) =>
        this.#sendAction(action)
      );
      await this.#injectFault(fault);
      await Promise.all([...newActions, ...resends]);
      await this.#replaceMissingEntries();
    }
    await Promise.all(this.#pauses);
    for (const action of this.actions) await this.#sendAction(action);
  }

  #pickEntry(): RunningEntry {
    const { entries } = this.fleet;
    return entries[this.#nextInteger(entries.length - 1)];
  }

  async #startAction(): Promise<void> {
    const key = await mintKeyOwnedBy(this.#pickEntry()).catch(() => undefined);
    if (key === undefined) return;
    const action: Action = { key, outcomes: new Set() };
    this.actions.push(action);
    await this.#sendAction(action);
  }

  async #sendAction(action: Action): Promise<void> {
    const answer = await sendProtectedCall(this.#pickEntry(), {
      key: action.key,
      deadlineMilliseconds: 400,
      timeoutMilliseconds: 1_500,
    }).catch(() => undefined);
    if (answer !== undefined) action.outcomes.add(answer.outcome);
  }

  async #injectFault(fault: Fault): Promise<void> {
    const { fleet } = this;
    const backend =
      fleet.backends[this.#nextInteger(fleet.backends.length - 1)];
    switch (fault) {
      case "kill":
        return await this.#removeEntry().child.kill();
      case "leave":
        return this.#removeEntry().child.signal("SIGTERM");
      case "pause":
        this.#pauses.push(this.#pauseEntry(this.#pickEntry()));
        return;
      case "platform-down":
        return await fleet.sendPlatformCommand({ kind: "mode", mode: "down" });
      case "platform-up":
        return await fleet.sendPlatformCommand({ kind: "mode", mode: "up" });
      case "lose-answers":
        return await fleet.setBehaviour(backend.address, {
          losesAnswers: true,
        });
      case "keep-answers":
        return await fleet.setBehaviour(backend.address, {
          losesAnswers: false,
        });
      case "shed":
        return await fleet.setBehaviour(backend.address, {
          queueLength: this.#nextInteger(1) * 100,
        });
      case "none":
        return;
    }
  }

  async #pauseEntry(entry: RunningEntry): Promise<void> {
    entry.child.signal("SIGSTOP");
    await sleep(300 + 300 * this.#nextInteger(6));
    entry.child.signal("SIGCONT");
  }

  #removeEntry(): RunningEntry {
    const index = this.#nextInteger(this.fleet.entries.length - 1);
    return this.fleet.entries.splice(index, 1)[0];
  }

  async #replaceMissingEntries(): Promise<void> {
    while (this.fleet.entries.length < MINIMUM_ENTRIES) {
      await this.fleet.startEntry(
        failureDomainOf(this.fleet.entries.length),
        SHORT_SHUTDOWN_SETTINGS,
      );
    }
  }
}

describe("seeded schedules of faults", () => {
  let fleet: Fleet;
  afterEach(() => fleet.stop());

  for (const seed of SEEDS) {
    test(`seed ${seed}: outcomes agree with the ledgers`, async () => {
      const generator = xoroshiro128plus(seed);
      const nextInteger = (maximum: number) =>
        uniformInt(generator, 0, maximum);
      fleet = await deploy({
        entries: 4,
        backends: 4,
        settings: SHORT_SHUTDOWN_SETTINGS,
      });
      const schedule = new FaultSchedule(fleet, nextInteger);
      await schedule.run();
      expect(schedule.actions.length).toBeGreaterThan(STEPS);
      const violations: string[] = [];
      for (const { key, outcomes } of schedule.actions) {
        const runs = await fleet.countRuns(key);
        const isViolation = runs > 1 ||
          (outcomes.has("not-run") && runs > 0) ||
          (outcomes.has("answered") && runs !== 1);
        if (isViolation) {
          violations.push(`${key}: ${runs} runs, ${[...outcomes].join()}`);
        }
      }
      const command = `SCHEDULE_SEED=${seed} npx vitest run ` +
        "packages/proof/src/schedule_test.ts";
      expect(violations, `repeat with: ${command}`).toEqual([]);
    });
  }
});
