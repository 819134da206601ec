/**
 * Checks the rows of one benchmark run against the targets of the policy.
 */
import type { BenchmarkRow } from "./bench_table.ts";
import type { Contender } from "./cell.ts";

export type Verdict = { readonly isMet: boolean; readonly text: string };

const MAXIMUM_EXCESS_TO_TWO_CHOICES = 0.25;
const MAXIMUM_EXCESS_TO_BEST_BASELINE = 0.5;
const NEAR_ORACLE_RATIO = 1.05;
const MAXIMUM_STRAGGLER_TAIL_TO_TWO_CHOICES = 1 / 3;
const MAXIMUM_POLL_SLOT_SHARE = 0.01;
const MAXIMUM_ATTEMPTS_PER_CALL = 1.1;
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

/** Checks each scene that has rows for `ours`, `oracle` and `two-choices`. */
export function checkTargets(rows: readonly BenchmarkRow[]): Verdict[] {
  const names = new Set(rows.map(({ user, scene }) => `${user} ${scene}`));
  return [...names].flatMap((name) => {
    const group = rows.filter(({ user, scene }) => `${user} ${scene}` === name);
    const scene = toSceneRows(name, group);
    return scene === undefined ? [] : checkScene(scene);
  });
}

function toSceneRows(
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

function checkScene(scene: SceneRows): Verdict[] {
  const verdicts = checkExcess(scene);
  if (scene.scene === "straggler") verdicts.push(checkStragglerTail(scene));
  if (scene.scene === "domain-lost") verdicts.push(checkAttemptsPerCall(scene));
  if (scene.ours.user === "suelas") verdicts.push(checkPollSlotShare(scene));
  return verdicts;
}

function checkExcess(scene: SceneRows): Verdict[] {
  const { name, ours, oracle, twoChoices, baselines } = scene;
  const oracleP99 = oracle.p99Milliseconds;
  const bestBaselineP99 = Math.min(
    ...baselines.map((row) => row.p99Milliseconds),
  );
  const worstBaselineP99 = Math.max(
    ...baselines.map((row) => row.p99Milliseconds),
  );
  if (isShortOfProcessorTime(scene)) {
    const text = `${name}: the oracle's median is above a baseline's, so the ` +
      "run lacked processor time and is not valid";
    return [{ isMet: false, text }];
  }
  if (worstBaselineP99 <= oracleP99 * NEAR_ORACLE_RATIO) {
    const isMet = ours.p99Milliseconds <= worstBaselineP99;
    return [{
      isMet,
      text:
        `${name}: p99 at most the worst baseline's; all are near the oracle`,
    }];
  }
  const excess = ours.p99Milliseconds - oracleP99;
  return [
    checkRatio(`${name}: excess p99 over the oracle to two choices'`, {
      value: excess / (twoChoices.p99Milliseconds - oracleP99),
      maximum: MAXIMUM_EXCESS_TO_TWO_CHOICES,
    }),
    checkRatio(`${name}: excess p99 over the oracle to the best baseline's`, {
      value: excess / (bestBaselineP99 - oracleP99),
      maximum: MAXIMUM_EXCESS_TO_BEST_BASELINE,
    }),
  ];
}

/**
 * The oracle sends all calls through one entry, which runs out of processor time
 * first and then has a higher median than a baseline. Its p99 is not compared:
 * where backend servers differ, it may exceed a baseline's without a lack of
 * processor time.
 */
function isShortOfProcessorTime({ oracle, baselines }: SceneRows): boolean {
  const bestBaselineP50 = Math.min(
    ...baselines.map((row) => row.p50Milliseconds),
  );
  return oracle.p50Milliseconds > bestBaselineP50 * NEAR_ORACLE_RATIO;
}

function checkStragglerTail({ name, ours, twoChoices }: SceneRows): Verdict {
  return checkRatio(`${name}: p99.9 to two choices'`, {
    value: ours.p999Milliseconds / twoChoices.p999Milliseconds,
    maximum: MAXIMUM_STRAGGLER_TAIL_TO_TWO_CHOICES,
  });
}

function checkAttemptsPerCall({ name, ours }: SceneRows): Verdict {
  return checkRatio(`${name}: attempts sent per call`, {
    value: ours.sentToCalled,
    maximum: MAXIMUM_ATTEMPTS_PER_CALL,
  });
}

function checkPollSlotShare({ name, ours }: SceneRows): Verdict {
  return checkRatio(`${name}: share of slot time spent on polls`, {
    value: ours.pollSlotShare,
    maximum: MAXIMUM_POLL_SLOT_SHARE,
  });
}

function checkRatio(
  text: string,
  bound: { readonly value: number; readonly maximum: number },
): Verdict {
  const { value, maximum } = bound;
  const isMet = value <= maximum;
  return { isMet, text: `${text}: ${value.toFixed(3)} (at most ${maximum})` };
}
