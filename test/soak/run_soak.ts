import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {SeededRandom} from '../../src/random/index.js';
import {Callers} from './callers.js';
import {judge, Violation} from './checks.js';
import {Bounds, createHistory, History} from './history.js';
import {Injector} from './injector.js';
import {Fault, Schedule} from './schedule.js';
import {PRESSING_CUSTOMER, SoakSystem, wait} from './soak_system.js';

/** What a run was, and what did not hold in it. */
export interface SoakReport {
  readonly schedule: Schedule;
  readonly history: History;
  readonly violations: readonly Violation[];
  /** Lines of each host. */
  readonly lines: ReadonlyMap<string, readonly string[]>;
  /** Requests by how they ended, for the summary. */
  readonly outcomes: ReadonlyMap<string, number>;
}

const BOUNDS: Bounds = {
  contactMs: 3000,
  applyMs: 2000,
  drainMs: 2000,
  graceMs: 4000,
  retryRatio: 0.2,
  retrySlack: 54,
  retryWindowMs: 10_000,
  quotaWindowMs: 4000,
  quotaOverage: 0.1,
  quotaSlack: 10,
  rates: new Map([[PRESSING_CUSTOMER, [10, 10]]]),
};
const CALLERS_A_HOST = 4;
/** Time after the last fault in which everything is to serve again, in ms. */
const RECOVERY_MS = 6000;
const RECOVERY_ASKS = 10;

/**
 * Plays a schedule against the real programs.
 * @param schedule - What happens.
 * @param timely - Whether bounds of time are judged, too.
 * @param onFault - Told of each fault as it begins.
 */
export async function runSoak(
  schedule: Schedule,
  timely: boolean,
  onFault: (fault: Fault) => void = () => undefined,
): Promise<SoakReport> {
  const folder = await mkdtemp(join(tmpdir(), 'sedgefall-soak-'));
  const history = createHistory(BOUNDS, `ends servers ${schedule.seed}`);
  const system = new SoakSystem(schedule, history, folder);
  const random = new SeededRandom(schedule.seed + 1);
  const callers = new Callers(system, history, random);
  try {
    await system.start();
    callers.start(CALLERS_A_HOST * schedule.hosts);
    await play(schedule, new Injector(system, history, callers), onFault);
    await wait(timely ? RECOVERY_MS : 0);
    await system.waitUntilReady();
    await callers.stop();
    await callers.askAll(RECOVERY_ASKS);
    await waitForLines();
  } finally {
    await system.stop();
    await rm(folder, {recursive: true, force: true});
  }
  history.words.push(...system.listObservedLeavings());
  for (const {options, logged, ownExits} of system.hosts) {
    history.logged.set(options.name, logged);
    history.ownExits.push(...ownExits.map(exit => `${options.name} ${exit}`));
  }
  return {
    schedule,
    history,
    violations: judge(history, timely),
    lines: new Map(
      system.hosts.map(({options, lines}) => [options.name, lines]),
    ),
    outcomes: countOutcomes(history),
  };
}

/** The last lines of a process reach its reader a little later. */
function waitForLines(): Promise<void> {
  return wait(200);
}

async function play(
  schedule: Schedule,
  injector: Injector,
  onFault: (fault: Fault) => void,
): Promise<void> {
  const startMs = performance.now();
  const running: Promise<void>[] = [];
  for (const fault of schedule.faults) {
    await wait(startMs + fault.atMs - performance.now());
    onFault(fault);
    running.push(injector.inject(fault));
  }
  await wait(startMs + schedule.lengthMs - performance.now());
  await Promise.all(running);
}

function countOutcomes({sendings}: History): Map<string, number> {
  const outcomes = new Map<string, number>();
  for (const {status, whole} of sendings) {
    const outcome =
      status === 0 ? 'none' : whole ? String(status) : `${status} cut`;
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  }
  return outcomes;
}
