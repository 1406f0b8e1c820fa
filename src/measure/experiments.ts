import {ChooseServer, chooseServer} from '../routing/index.js';
import {
  chooseAtRandom,
  chooseByPrefixHash,
  chooseLeastInFlight,
  createRoundRobin,
} from './baselines.js';
import {Figures} from './figures.js';
import {MeasuredWorld} from './measured_world.js';
import {WorldEvent, WorldPlan} from './world_plan.js';
import {CASILLAS, GUILD, Profile} from './workload.js';

/** A policy in an experiment. */
export interface Policy {
  readonly name: string;
  /** The product's own policy; the others are baselines. */
  readonly isOurs: boolean;
  readonly change: Partial<WorldPlan>;
}

/** One situation in which policies are compared. */
export interface Experiment {
  readonly name: string;
  readonly profile: Profile;
  readonly policies: readonly Policy[];
  readonly plan: Partial<WorldPlan>;
}

/** Figures of one policy under each seed. */
export interface PolicyResult {
  readonly experiment: Experiment;
  readonly policy: Policy;
  readonly runs: readonly Figures[];
}

/** Both deployments: four data centres with two model servers each. */
const SERVERS_PER_CENTRE = [2, 2, 2, 2];

/**
 * Requests a second at which both profiles use about 55% of the places, as
 * capacity 128 / (tokens x 20 ms + prefill) gives.
 */
const STEADY_RATE: Readonly<Record<string, number>> = {
  guild: 25,
  casillas: 70,
};
/** How much longer answers are in reclaim waves than in steady load. */
const WAVE_ANSWER_FACTOR = 12;
/** Requests a second that the eight servers can just carry. */
export const FULL_RATE: Readonly<Record<string, number>> = {
  guild: 45,
  casillas: 130,
};

const ROUTING: readonly [string, () => ChooseServer][] = [
  ['random', () => chooseAtRandom],
  ['round-robin', createRoundRobin],
  ['least-in-flight', () => chooseLeastInFlight],
  ['prefix-hash', () => chooseByPrefixHash],
];

const OURS: Policy = {name: 'sedgefall', isOurs: true, change: {}};
const NO_ADMISSION: Policy = {
  name: 'no-admission',
  isOurs: false,
  change: {admits: false},
};
const RECOMPUTE: Policy = {
  name: 'recompute-always',
  isOurs: false,
  change: {movesOnNotice: false},
};

/**
 * Lists the experiments.
 * @param durationMs - Length of each run, in virtual milliseconds.
 * @param quick - Whether to leave out the points between the ends of curves.
 */
export function listExperiments(
  durationMs: number,
  quick: boolean,
): Experiment[] {
  const factors = quick ? [1, 4] : [0.5, 1, 1.5, 2, 3, 4];
  const notices = quick ? [5, 15] : [5, 15, 30];
  return [GUILD, CASILLAS].flatMap(profile => [
    createSteady(profile),
    ...factors.map(factor => createOffered(profile, factor)),
    createRecovery(profile, durationMs),
    ...notices.map(notice => createWave(profile, notice, durationMs)),
    createEvent(profile, 'centre-lost', [
      {kind: 'reclaim', atMs: durationMs / 3, dataCentre: 0, noticeMs: 0},
    ]),
    createEvent(profile, 'slow-server', [
      {kind: 'slow', atMs: 1000, server: 0, factor: 6},
    ]),
    createFlood(profile, durationMs),
  ]);
}

/** Runs an experiment under each policy and seed; seeds are paired. */
export async function runExperiment(
  experiment: Experiment,
  seeds: readonly number[],
  durationMs: number,
): Promise<PolicyResult[]> {
  const results: PolicyResult[] = [];
  for (const policy of experiment.policies) {
    const runs: Figures[] = [];
    for (const seed of seeds) {
      const world = new MeasuredWorld({
        profile: experiment.profile,
        seed,
        durationMs,
        ratePerSecond: STEADY_RATE[experiment.profile.name] ?? 1,
        chooseServer: () => chooseServer,
        admits: true,
        movesOnNotice: true,
        events: [],
        serversPerCentre: SERVERS_PER_CENTRE,
        ...experiment.plan,
        ...policy.change,
      });
      runs.push(await world.run());
    }
    results.push({experiment, policy, runs});
  }
  return results;
}

function createSteady(profile: Profile): Experiment {
  const baselines = ROUTING.map(([name, choose]) => ({
    name,
    isOurs: false,
    change: {chooseServer: choose},
  }));
  return {
    name: 'steady',
    profile,
    policies: [OURS, ...baselines],
    plan: {},
  };
}

function createOffered(profile: Profile, factor: number): Experiment {
  return {
    name: `offered-${factor}`,
    profile,
    policies: [OURS, NO_ADMISSION],
    plan: {ratePerSecond: (FULL_RATE[profile.name] ?? 1) * factor},
  };
}

/** Four times the capacity for a third of the run, then half of it. */
function createRecovery(profile: Profile, durationMs: number): Experiment {
  const full = FULL_RATE[profile.name] ?? 1;
  return {
    name: 'recovery',
    profile,
    policies: [OURS, NO_ADMISSION],
    plan: {
      ratePerSecond: full * 4,
      rateAfter: {atMs: durationMs / 3, ratePerSecond: full / 2},
    },
  };
}

function createWave(
  profile: Profile,
  noticeSeconds: number,
  durationMs: number,
): Experiment {
  // Answers must outlast the notice, or there is nothing to decide.
  const long = {
    ...profile,
    answerTokens: profile.answerTokens * WAVE_ANSWER_FACTOR,
  };
  return {
    name: `wave-${noticeSeconds}s`,
    profile: long,
    policies: [OURS, RECOMPUTE],
    plan: {
      ratePerSecond: (STEADY_RATE[profile.name] ?? 1) / WAVE_ANSWER_FACTOR,
      events: [
        {
          kind: 'reclaim',
          atMs: durationMs / 2,
          dataCentre: 1,
          noticeMs: noticeSeconds * 1000,
        },
      ],
    },
  };
}

function createEvent(
  profile: Profile,
  name: string,
  events: readonly WorldEvent[],
): Experiment {
  const leastInFlight: Policy = {
    name: 'least-in-flight',
    isOurs: false,
    change: {chooseServer: () => chooseLeastInFlight},
  };
  return {name, profile, policies: [OURS, leastInFlight], plan: {events}};
}

function createFlood(profile: Profile, durationMs: number): Experiment {
  const full = FULL_RATE[profile.name] ?? 1;
  return {
    name: 'flood',
    profile,
    policies: [
      OURS,
      {name: 'no-flood', isOurs: false, change: {events: []}},
      NO_ADMISSION,
    ],
    plan: {
      events: [
        {
          kind: 'flood',
          atMs: durationMs / 4,
          forMs: durationMs / 2,
          customer: 'large-1',
          ratePerSecond: full * 2,
        },
      ],
    },
  };
}
