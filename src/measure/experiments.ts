import {ChooseServer, chooseServer} from '../routing/index.js';
import {
  chooseAtRandom,
  chooseByPrefixHash,
  chooseLeastInFlight,
  createRoundRobin,
} from './baselines.js';
import {Figures} from './figures.js';
import {PolicySimulation} from './policy_simulation.js';
import {SimulationEvent, SimulationPlan} from './simulation_plan.js';
import {CASILLAS, GUILD, Profile} from './workload.js';

/** One of the policies that an experiment compares. */
export interface Policy {
  readonly name: string;
  /** Whether this is the product's own policy; the others are baselines. */
  readonly isOurs: boolean;
  /** Values of the plan that differ from the experiment's. */
  readonly change: Partial<SimulationPlan>;
}

/** One scenario in which policies are compared. */
export interface Experiment {
  readonly name: string;
  readonly profile: Profile;
  readonly policies: readonly Policy[];
  readonly plan: Partial<SimulationPlan>;
}

/** Figures of one policy, one entry per seed. */
export interface PolicyResult {
  readonly experiment: Experiment;
  readonly policy: Policy;
  readonly runs: readonly Figures[];
}

/** Model servers per data centre, the same for both user groups. */
const SERVERS_PER_CENTRE = [2, 2, 2, 2];

/**
 * Requests per second at which both profiles use about 55% of the capacity, which
 * is 128 concurrent generations of (tokens x 20 ms + prefill) each.
 */
const STEADY_RATE_PER_S: Readonly<Record<string, number>> = {
  guild: 25,
  casillas: 70,
};
/** Factor by which answers are longer in reclaim waves than under steady load. */
const WAVE_ANSWER_FACTOR = 12;
/** Highest load that the eight servers can sustain, in requests per second. */
export const FULL_RATE_PER_S: Readonly<Record<string, number>> = {
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
  change: {usesAdmissionControl: false},
};
const RECOMPUTE: Policy = {
  name: 'recompute-always',
  isOurs: false,
  change: {migratesOnNotice: false},
};

/**
 * Lists the experiments.
 * @param durationMs - Length of each run, in virtual milliseconds.
 * @param quick - Whether to omit the intermediate points of curves.
 */
export function listExperiments(
  durationMs: number,
  quick: boolean,
): Experiment[] {
  const factors = quick ? [1, 4] : [0.5, 1, 1.5, 2, 3, 4];
  const notices = quick ? [5, 15] : [5, 15, 30];
  return [GUILD, CASILLAS].flatMap(profile => [
    createSteadyLoad(profile),
    ...factors.map(factor => createOfferedLoad(profile, factor)),
    createOverloadRecovery(profile, durationMs),
    ...notices.map(notice => createReclaimWave(profile, notice, durationMs)),
    createEventExperiment(profile, 'centre-lost', [
      {kind: 'reclaim', atMs: durationMs / 3, dataCentre: 0, noticeMs: 0},
    ]),
    createEventExperiment(profile, 'slow-server', [
      {kind: 'slow', atMs: 1000, server: 0, factor: 6},
    ]),
    createCustomerFlood(profile, durationMs),
  ]);
}

/** Runs an experiment for each policy, with the same seeds for every policy. */
export async function runExperiment(
  experiment: Experiment,
  seeds: readonly number[],
  durationMs: number,
): Promise<PolicyResult[]> {
  const results: PolicyResult[] = [];
  for (const policy of experiment.policies) {
    const runs: Figures[] = [];
    for (const seed of seeds) {
      const simulation = new PolicySimulation({
        profile: experiment.profile,
        seed,
        durationMs,
        ratePerSecond: STEADY_RATE_PER_S[experiment.profile.name] ?? 1,
        chooseServer: () => chooseServer,
        usesAdmissionControl: true,
        migratesOnNotice: true,
        events: [],
        serversPerCentre: SERVERS_PER_CENTRE,
        ...experiment.plan,
        ...policy.change,
      });
      runs.push(await simulation.run());
    }
    results.push({experiment, policy, runs});
  }
  return results;
}

function createSteadyLoad(profile: Profile): Experiment {
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

function createOfferedLoad(profile: Profile, factor: number): Experiment {
  return {
    name: `offered-${factor}`,
    profile,
    policies: [OURS, NO_ADMISSION],
    plan: {ratePerSecond: (FULL_RATE_PER_S[profile.name] ?? 1) * factor},
  };
}

/** Offers four times the full rate for a third of the run, then half of it. */
function createOverloadRecovery(
  profile: Profile,
  durationMs: number,
): Experiment {
  const full = FULL_RATE_PER_S[profile.name] ?? 1;
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

function createReclaimWave(
  profile: Profile,
  noticeSeconds: number,
  durationMs: number,
): Experiment {
  // Answers must take longer than the notice: a generation that finishes within
  // it needs neither migration nor recomputation.
  const long = {
    ...profile,
    answerTokens: profile.answerTokens * WAVE_ANSWER_FACTOR,
  };
  return {
    name: `wave-${noticeSeconds}s`,
    profile: long,
    policies: [OURS, RECOMPUTE],
    plan: {
      ratePerSecond:
        (STEADY_RATE_PER_S[profile.name] ?? 1) / WAVE_ANSWER_FACTOR,
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

function createEventExperiment(
  profile: Profile,
  name: string,
  events: readonly SimulationEvent[],
): Experiment {
  const leastInFlight: Policy = {
    name: 'least-in-flight',
    isOurs: false,
    change: {chooseServer: () => chooseLeastInFlight},
  };
  return {name, profile, policies: [OURS, leastInFlight], plan: {events}};
}

function createCustomerFlood(profile: Profile, durationMs: number): Experiment {
  const full = FULL_RATE_PER_S[profile.name] ?? 1;
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
