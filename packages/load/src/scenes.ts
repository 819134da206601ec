/**
 * The deployment sizes of the users, and the scenes of the benchmark: a load
 * together with faults or changes of the backend servers.
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
 * The service times are longer than the 20 and 8 ms of the trials for the first
 * design. With 15 entry processes on a few cores, shorter ones would measure
 * the contention for processors and not the policy.
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
  /** Offered load as a share of the capacity that remains in the scene. */
  readonly load: number;
  /** Remaining capacity as a share of the capacity of all backend servers. */
  readonly capacity: (backends: number) => number;
  readonly behaviour: (
    index: number,
    backends: number,
  ) => Partial<BackendBehaviour>;
  /** Change of some backend servers when the measured time begins. */
  readonly change?: {
    readonly isAffected: (index: number, backends: number) => boolean;
    readonly effect: Partial<BackendBehaviour> | "kill";
    readonly undoAfterMilliseconds?: number;
  };
};

const NOISE_SHARE = 0.2;
const NOISE_FACTOR = 4;
const COLD_FACTOR = 4;
const FAILURE_DOMAIN_COUNT = 4;

function defaultBehaviour(): Partial<BackendBehaviour> {
  return {};
}

function fullCapacity(): number {
  return 1;
}

function isFirst(index: number): boolean {
  return index === 0;
}

export const SCENES: Readonly<Record<SceneName, Scene>> = {
  "steady-50": {
    load: 0.5,
    capacity: fullCapacity,
    behaviour: defaultBehaviour,
  },
  "steady-80": {
    load: 0.8,
    capacity: fullCapacity,
    behaviour: defaultBehaviour,
  },
  "steady-95": {
    load: 0.95,
    capacity: fullCapacity,
    behaviour: defaultBehaviour,
  },
  "straggler": {
    load: 0.8,
    capacity: (backends) => (backends - 0.9) / backends,
    behaviour: (index) => isFirst(index) ? { slowdown: 10 } : {},
  },
  "fail-fast": {
    load: 0.8,
    capacity: (backends) => (backends - 1) / backends,
    behaviour: (index) => isFirst(index) ? { failShare: 1 } : {},
  },
  "cold-third": {
    load: 0.8,
    capacity: () => 1 - (1 - 1 / COLD_FACTOR) / 3,
    behaviour: defaultBehaviour,
    change: {
      isAffected: (index) => index % 3 === 0,
      effect: { slowdown: COLD_FACTOR },
      undoAfterMilliseconds: 4_000,
    },
  },
  "late-reports": {
    load: 0.8,
    capacity: fullCapacity,
    behaviour: () => ({ reportLagMilliseconds: 1_000 }),
  },
  "misleading-reports": {
    load: 0.8,
    capacity: fullCapacity,
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
    capacity: () => 1 - 1 / FAILURE_DOMAIN_COUNT,
    behaviour: defaultBehaviour,
    change: {
      isAffected: (index, backends) => index < backends / FAILURE_DOMAIN_COUNT,
      effect: "kill",
    },
  },
};
