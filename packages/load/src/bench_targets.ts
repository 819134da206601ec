/**
 * The stated targets of the policy, judged from the rows of one run.
 */
import type { BenchmarkRow } from "./bench_table.ts";
import type { Contender } from "./cell.ts";

export type Verdict = { readonly isMet: boolean; readonly text: string };

const MOST_EXCESS_TO_TWO_CHOICES = 0.25;
const MOST_EXCESS_TO_BEST_BASELINE = 0.5;
const NEAR_ORACLE = 1.05;
const MOST_STRAGGLER_TAIL_TO_TWO_CHOICES = 1 / 3;
const MOST_POLL_SLOT_SHARE = 0.01;
const MOST_SENT_TO_CALLED = 1.1;
const BASELINES: readonly Contender[] = [
  "two-choices",
  "least-in-flight",
  "round-robin",
  "random",
];

type SceneRows = {
  readonly name: string;
  readonly scene: string;
  readonly ours: BenchmarkRow;
  readonly oracle: BenchmarkRow;
  readonly twoChoices: BenchmarkRow;
  readonly baselines: readonly BenchmarkRow[];
};

/** Judges every scene that has ours, the oracle and two choices. */
export function checkTargets(rows: readonly BenchmarkRow[]): Verdict[] {
  const names = new Set(rows.map(({ user, scene }) => `${user} ${scene}`));
  return [...names].flatMap((name) => {
    const group = rows.filter(({ user, scene }) => `${user} ${scene}` === name);
    const scene = toScene(name, group);
    return scene === undefined ? [] : judge(scene);
  });
}

function toScene(
  name: string,
  group: readonly BenchmarkRow[],
): SceneRows | undefined {
  const find = (contender: Contender) =>
    group.find((row) => row.contender === contender);
  const ours = find("ours");
  const oracle = find("oracle");
  const twoChoices = find("two-choices");
  if (!ours || !oracle || !twoChoices) return undefined;
  const baselines = group.filter(({ contender }) =>
    BASELINES.includes(contender)
  );
  return { name, scene: ours.scene, ours, oracle, twoChoices, baselines };
}

function judge(scene: SceneRows): Verdict[] {
  const verdicts = judgeExcess(scene);
  if (scene.scene === "straggler") verdicts.push(judgeStraggler(scene));
  if (scene.scene === "domain-lost") verdicts.push(judgeSent(scene));
  if (scene.ours.user === "suelas") verdicts.push(judgePolls(scene));
  return verdicts;
}

function judgeExcess(scene: SceneRows): Verdict[] {
  const { name, ours, oracle, twoChoices, baselines } = scene;
  const floor = oracle.p99Milliseconds;
  const best = Math.min(...baselines.map((row) => row.p99Milliseconds));
  const worst = Math.max(...baselines.map((row) => row.p99Milliseconds));
  if (isShortOfProcessorTime(scene)) {
    const text = `${name}: the oracle's median is above a baseline's, so the ` +
      "run was short of processor time and says nothing";
    return [{ isMet: false, text }];
  }
  if (worst <= floor * NEAR_ORACLE) {
    const isMet = ours.p99Milliseconds <= worst;
    return [{ isMet, text: `${name}: p99 no worse than near-oracle policies` }];
  }
  const excess = ours.p99Milliseconds - floor;
  return [
    ratio(`${name}: excess p99 over the oracle to two choices'`, {
      value: excess / (twoChoices.p99Milliseconds - floor),
      most: MOST_EXCESS_TO_TWO_CHOICES,
    }),
    ratio(`${name}: excess p99 over the oracle to the best baseline's`, {
      value: excess / (best - floor),
      most: MOST_EXCESS_TO_BEST_BASELINE,
    }),
  ];
}

/**
 * The one entry of the oracle is the first to lack processor time, which shows
 * in its median. Its tail may rightly lose where backend servers differ.
 */
function isShortOfProcessorTime({ oracle, baselines }: SceneRows): boolean {
  const best = Math.min(...baselines.map((row) => row.p50Milliseconds));
  return oracle.p50Milliseconds > best * NEAR_ORACLE;
}

function judgeStraggler({ name, ours, twoChoices }: SceneRows): Verdict {
  return ratio(`${name}: p99.9 to two choices'`, {
    value: ours.p999Milliseconds / twoChoices.p999Milliseconds,
    most: MOST_STRAGGLER_TAIL_TO_TWO_CHOICES,
  });
}

function judgeSent({ name, ours }: SceneRows): Verdict {
  return ratio(`${name}: sent to called`, {
    value: ours.sentToCalled,
    most: MOST_SENT_TO_CALLED,
  });
}

function judgePolls({ name, ours }: SceneRows): Verdict {
  return ratio(`${name}: share of slot time spent on polls`, {
    value: ours.pollSlotShare,
    most: MOST_POLL_SLOT_SHARE,
  });
}

function ratio(
  text: string,
  bound: { readonly value: number; readonly most: number },
): Verdict {
  const { value, most } = bound;
  const isMet = value <= most;
  return { isMet, text: `${text}: ${value.toFixed(3)} (at most ${most})` };
}
