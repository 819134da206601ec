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

/** `SCHEDULE_SEED=7 npx vitest run packages/proof/src/schedule_test.ts` */
const SEEDS: readonly number[] = process.env.SCHEDULE_SEED === undefined
  ? [1, 2, 3]
  : [Number(process.env.SCHEDULE_SEED)];
const STEPS = 14;
const ACTIONS_PER_STEP = 4;
const LEAST_ENTRIES = 3;

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

type Action = { readonly key: string; readonly told: Set<string> };

class Schedule {
  readonly fleet: Fleet;
  readonly actions: Action[] = [];
  readonly #next: (most: number) => number;
  #wakeUps: Promise<void>[] = [];

  constructor(fleet: Fleet, next: (most: number) => number) {
    this.fleet = fleet;
    this.#next = next;
  }

  async run(): Promise<void> {
    for (let step = 0; step < STEPS; step++) {
      const fault = FAULTS[this.#next(FAULTS.length - 1)];
      const starting = Array.from(
        { length: ACTIONS_PER_STEP },
        () => this.#start(),
      );
      const resending = this.actions.slice(-6).map((action) =>
        this.#send(action)
      );
      await this.#inject(fault);
      await Promise.all([...starting, ...resending]);
      await this.#refill();
    }
    await Promise.all(this.#wakeUps);
    for (const action of this.actions) await this.#send(action);
  }

  #pick(): RunningEntry {
    const { entries } = this.fleet;
    return entries[this.#next(entries.length - 1)];
  }

  async #start(): Promise<void> {
    const key = await mintKeyOwnedBy(this.#pick()).catch(() => undefined);
    if (key === undefined) return;
    const action: Action = { key, told: new Set() };
    this.actions.push(action);
    await this.#send(action);
  }

  async #send(action: Action): Promise<void> {
    const answer = await sendProtectedCall(this.#pick(), {
      key: action.key,
      deadlineMilliseconds: 400,
      timeoutMilliseconds: 1_500,
    }).catch(() => undefined);
    if (answer !== undefined) action.told.add(answer.outcome);
  }

  async #inject(fault: Fault): Promise<void> {
    const { fleet } = this;
    const backend = fleet.backends[this.#next(fleet.backends.length - 1)];
    switch (fault) {
      case "kill":
        return await this.#take().child.kill();
      case "leave":
        return this.#take().child.signal("SIGTERM");
      case "pause":
        this.#wakeUps.push(this.#pause(this.#pick()));
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
          queueLength: this.#next(1) * 100,
        });
      case "none":
        return;
    }
  }

  async #pause(entry: RunningEntry): Promise<void> {
    entry.child.signal("SIGSTOP");
    await sleep(300 + 300 * this.#next(6));
    entry.child.signal("SIGCONT");
  }

  #take(): RunningEntry {
    const index = this.#next(this.fleet.entries.length - 1);
    return this.fleet.entries.splice(index, 1)[0];
  }

  async #refill(): Promise<void> {
    while (this.fleet.entries.length < LEAST_ENTRIES) {
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
      const next = (most: number) => uniformInt(generator, 0, most);
      fleet = await deploy({
        entries: 4,
        backends: 4,
        settings: SHORT_SHUTDOWN_SETTINGS,
      });
      const schedule = new Schedule(fleet, next);
      await schedule.run();
      expect(schedule.actions.length).toBeGreaterThan(STEPS);
      const wrong: string[] = [];
      for (const { key, told } of schedule.actions) {
        const runs = await fleet.countRuns(key);
        const isWrong = runs > 1 ||
          (told.has("not-run") && runs > 0) ||
          (told.has("answered") && runs !== 1);
        if (isWrong) wrong.push(`${key}: ${runs} runs, ${[...told].join()}`);
      }
      const command = `SCHEDULE_SEED=${seed} npx vitest run ` +
        "packages/proof/src/schedule_test.ts";
      expect(wrong, `repeat with: ${command}`).toEqual([]);
    });
  }
});
