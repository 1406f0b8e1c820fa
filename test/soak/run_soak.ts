import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {SeededRandom} from '../../src/random/index.js';
import {Callers} from './callers.js';
import {findViolations, Violation} from './checks.js';
import {Bounds, createHistory, History} from './history.js';
import {FaultInjector} from './fault_injector.js';
import {Fault, FaultKind, Schedule} from './schedule.js';
import {LOW_RATE_CUSTOMER, SoakSystem, wait} from './soak_system.js';

/** A run, and the violations found in it. */
export interface SoakReport {
  readonly schedule: Schedule;
  readonly history: History;
  readonly violations: readonly Violation[];
  /** Exits of hosts by a reload signal that no script could have handled. */
  readonly exitsBeforeScript: number;
  /** Log lines of each host. */
  readonly logLines: ReadonlyMap<string, readonly string[]>;
  /** Number of requests by outcome, for the summary. */
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
  rates: new Map([[LOW_RATE_CUSTOMER, [10, 10]]]),
};
/** Faults in whose schedules a small retry budget is used up. */
const SCARCE_RETRIES: ReadonlySet<FaultKind> = new Set([
  FaultKind.SERVERS_REJECT,
  FaultKind.SERVERS_SILENT,
]);
const SMALL_RETRY_BUDGET = {retryRatio: 0.05, retrySlack: 40};
const CALLERS_PER_HOST = 4;
/** Time after the last fault within which everything must serve again, in milliseconds. */
const RECOVERY_MS = 6000;
const RECOVERY_PROBES_PER_HOST = 10;

function getBounds({faults}: Schedule): Bounds {
  const hasFewRetries = faults.some(({kind}) => SCARCE_RETRIES.has(kind));
  return hasFewRetries ? {...BOUNDS, ...SMALL_RETRY_BUDGET} : BOUNDS;
}

/**
 * Runs a schedule against the real programs.
 * @param schedule - Size and faults of the run.
 * @param checkTimeBounds - Whether checks that depend on a time bound are included.
 * @param onFault - Called with each fault when it starts.
 */
export async function runSoak(
  schedule: Schedule,
  checkTimeBounds: boolean,
  onFault: (fault: Fault) => void = () => undefined,
): Promise<SoakReport> {
  const folder = await mkdtemp(join(tmpdir(), 'sedgefall-soak-'));
  const history = createHistory(
    getBounds(schedule),
    `ends servers ${schedule.seed}`,
  );
  const system = new SoakSystem(schedule, history, folder);
  const random = new SeededRandom(schedule.seed + 1);
  const callers = new Callers(system, history, random);
  let unready: Violation[] = [];
  try {
    await system.start();
    callers.start(CALLERS_PER_HOST * schedule.hosts);
    await playSchedule(
      schedule,
      new FaultInjector(system, history, callers),
      onFault,
    );
    await wait(checkTimeBounds ? RECOVERY_MS : 0);
    unready = await findUnready(system);
    await callers.stop();
    // Hosts that are not ready would only make the run longer.
    await callers.probeHosts(
      unready.length === 0 ? RECOVERY_PROBES_PER_HOST : 0,
    );
    await waitForLogLines();
  } finally {
    await system.stop();
    await rm(folder, {recursive: true, force: true});
  }
  history.words.push(...system.listLoggedLeavings());
  for (const {options, logged, unexpectedExits} of system.hosts) {
    history.logged.set(options.name, logged);
    history.ownExits.push(
      ...unexpectedExits.map(exit => `${options.name} ${exit}`),
    );
  }
  return {
    schedule,
    history,
    violations: [...unready, ...findViolations(history, checkTimeBounds)],
    exitsBeforeScript: system.hosts.reduce(
      (sum, {exitsBeforeScript}) => sum + exitsBeforeScript,
      0,
    ),
    logLines: new Map(
      system.hosts.map(({options, logLines}) => [options.name, logLines]),
    ),
    outcomes: countOutcomes(history),
  };
}

/** Waits until every host is ready; reports those that are not, so that their logs are kept. */
async function findUnready(system: SoakSystem): Promise<Violation[]> {
  try {
    await system.waitUntilReady();
    return [];
  } catch (error) {
    return [{check: 'hosts are ready again', detail: String(error)}];
  }
}

/** Waits for the last lines of a process, which reach their reader with a short delay. */
function waitForLogLines(): Promise<void> {
  return wait(200);
}

async function playSchedule(
  schedule: Schedule,
  injector: FaultInjector,
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
