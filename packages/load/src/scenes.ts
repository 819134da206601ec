/**
 * The users' sizes and the scenes that policies are compared in.
 */
import type { BackendBehaviour } from "@marigoldford/stand_ins/backend_behaviour";

export type User = "suelas" | "wickramasinghe";

export type UserSize = {
  readonly service: string;
  readonly backends: number;
  readonly slots: number;
  readonly entries: number;
  readonly connections: number;
  /** Mean of exponentially distributed service times. */
  readonly serviceMilliseconds: number;
};

/**
 * The service times are longer than those of the trials in the starting
 * design (20 and 8 ms). With 15 entry processes on a few cores, shorter ones
 * measure the machine's queue for processors and not the policy.
 */
export const USER_SIZES: Readonly<Record<User, UserSize>> = {
  suelas: {
    service: "seguimiento",
    backends: 20,
    slots: 2,
    entries: 15,
    connections: 250,
    serviceMilliseconds: 60,
  },
  wickramasinghe: {
    service: "gatecheck",
    backends: 15,
    slots: 6,
    entries: 15,
    connections: 200,
    serviceMilliseconds: 120,
  },
};

export const SCENE_NAMES = [
  "steady-50",
  "steady-80",
  "steady-95",
  "straggler",
  "fail-fast",
  "cold-third",
  "late-reports",
  "misleading-reports",
  "noisy",
  "domain-lost",
] as const;
export type SceneName = typeof SCENE_NAMES[number];

export type Scene = {
  /** Share of the capacity that the scene leaves. */
  readonly load: number;
  /** Share of the capacity of all targets that the scene leaves. */
  readonly capacity: (targets: number) => number;
  readonly behaviour: (
    index: number,
    targets: number,
  ) => Partial<BackendBehaviour>;
  /** Set on some targets when the measured part begins. */
  readonly change?: {
    readonly isAffected: (index: number, targets: number) => boolean;
    readonly effect: Partial<BackendBehaviour> | "kill";
    readonly undoAfterMilliseconds?: number;
  };
};

const NOISE_SHARE = 0.2;
const NOISE_FACTOR = 4;
const COLD_FACTOR = 4;
const FAILURE_DOMAINS = 4;

function plain(): Partial<BackendBehaviour> {
  return {};
}

function whole(): number {
  return 1;
}

function firstOnly(index: number): boolean {
  return index === 0;
}

export const SCENES: Readonly<Record<SceneName, Scene>> = {
  "steady-50": { load: 0.5, capacity: whole, behaviour: plain },
  "steady-80": { load: 0.8, capacity: whole, behaviour: plain },
  "steady-95": { load: 0.95, capacity: whole, behaviour: plain },
  "straggler": {
    load: 0.8,
    capacity: (targets) => (targets - 0.9) / targets,
    behaviour: (index) => firstOnly(index) ? { slowdown: 10 } : {},
  },
  "fail-fast": {
    load: 0.8,
    capacity: (targets) => (targets - 1) / targets,
    behaviour: (index) => firstOnly(index) ? { failShare: 1 } : {},
  },
  "cold-third": {
    load: 0.8,
    capacity: () => 1 - (1 - 1 / COLD_FACTOR) / 3,
    behaviour: plain,
    change: {
      isAffected: (index) => index % 3 === 0,
      effect: { slowdown: COLD_FACTOR },
      undoAfterMilliseconds: 4_000,
    },
  },
  "late-reports": {
    load: 0.8,
    capacity: whole,
    behaviour: () => ({ reportLagMilliseconds: 1_000 }),
  },
  "misleading-reports": {
    load: 0.8,
    capacity: whole,
    behaviour: (index) => ({ isReportMisleading: index % 3 === 0 }),
  },
  "noisy": {
    load: 0.8,
    capacity: () => 1 / (1 + NOISE_SHARE * (NOISE_FACTOR - 1)),
    behaviour: () => ({
      noisePeriodMilliseconds: 10,
      noiseShare: NOISE_SHARE,
      noiseFactor: NOISE_FACTOR,
    }),
  },
  "domain-lost": {
    load: 0.8,
    capacity: () => 1 - 1 / FAILURE_DOMAINS,
    behaviour: plain,
    change: {
      isAffected: (index, targets) => index < targets / FAILURE_DOMAINS,
      effect: "kill",
    },
  },
};
