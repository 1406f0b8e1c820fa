import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {SeededRandom} from '../../src/random/index.js';
import {Callers} from './callers.js';
import {judge, Violation} from './checks.js';
import {Bounds, createHistory, FaultSpan, History} from './history.js';
import {Fault, FaultKind, Schedule} from './schedule.js';
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
const SLOW_MS = 80;
const RESTART_MS = 100;

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

/** Brings faults about, and mends them. */
class Injector {
  /** Faults of one switch that overlap: the last to end mends it. */
  private readonly held = new Map<string, number>();

  constructor(
    private readonly system: SoakSystem,
    private readonly history: History,
    private readonly callers: Callers,
  ) {}

  /** Brings one fault about; returns once it is mended. */
  async inject(fault: Fault): Promise<void> {
    const {system} = this;
    const host = system.getHost(fault.target);
    const {name} = host.options;
    const server = system.getServer(fault.target);
    const {store} = system;
    switch (fault.kind) {
      case FaultKind.HOST_KILL:
        return this.during(fault, name, () =>
          system.killHost(host, fault.forMs),
        );
      case FaultKind.ALL_KILLED:
        return this.during(fault, '', async () => {
          await Promise.all(
            system.hosts.map(each => system.killHost(each, RESTART_MS)),
          );
        });
      case FaultKind.HOST_STOP:
        return this.during(fault, name, () => system.stopHost(host), true);
      case FaultKind.HOST_RELOAD:
        return this.during(fault, 'settings', () => host.reload());
      case FaultKind.HOST_FREEZE:
        return this.hold(fault, name, on =>
          host.signal(on ? 'SIGSTOP' : 'SIGCONT'),
        );
      case FaultKind.STORE_BUSY:
        return this.hold(fault, '', on => (store.faults.busy = on));
      case FaultKind.STORE_SILENT:
        return this.hold(fault, '', on => (store.faults.silent = on));
      case FaultKind.STORE_LOSES_ANSWERS:
        return this.hold(fault, '', on => (store.faults.loseWriteAnswers = on));
      case FaultKind.STORE_DEAF:
        return this.hold(fault, '', on => (store.faults.deafWatches = on));
      case FaultKind.STORE_FORGETS:
        return this.during(fault, '', async () => store.dropHistory());
      case FaultKind.STORE_LINK_CUT:
        return this.hold(fault, name, on => {
          host.storeLink.faults.silent = on;
          host.storeLink.reset();
        });
      case FaultKind.STORE_LINK_SLOW:
        return this.hold(fault, name, on => {
          host.storeLink.faults.delayMs = on ? SLOW_MS : 0;
        });
      case FaultKind.FOREIGN_ENTRY:
        return this.hold(fault, 'entries', on => {
          if (on) {
            store.putText('servers', 'x-1', '{"state": 7');
            store.put('servers', 'x-2', {state: 'ready', address: 'nowhere'});
          } else {
            store.remove('servers', 'x-1');
            store.remove('servers', 'x-2');
          }
        });
      case FaultKind.CHANGE:
        return this.during(fault, 'routes', async () => system.changeRoutes());
      case FaultKind.CALLERS_PRESS:
        return this.hold(
          fault,
          'callers',
          on => (this.callers.faults.press = on),
        );
      case FaultKind.CALLERS_LEAVE:
        return this.hold(
          fault,
          'callers',
          on => (this.callers.faults.leave = on),
        );
      case FaultKind.ENDING_REQUEST:
        // It goes on to the end of the run: its caller does not give up.
        this.callers.faults.endServers = true;
        return this.during(fault, 'servers', () => wait(fault.forMs));
      default:
        return server === undefined
          ? undefined
          : this.injectAtServer(fault, server);
    }
  }

  private injectAtServer(
    fault: Fault,
    server: NonNullable<ReturnType<SoakSystem['getServer']>>,
  ): Promise<void> {
    const {name, faults, link} = server;
    const {system} = this;
    switch (fault.kind) {
      case FaultKind.SERVER_CRASH:
        return this.during(fault, name, () => system.crashServer(server));
      case FaultKind.SERVER_REBORN:
        return this.during(fault, name, () => system.crashServer(server, true));
      case FaultKind.SERVER_LEAVES:
        return this.during(fault, name, () => system.drainServer(server));
      case FaultKind.SERVER_DARK:
        return this.hold(fault, name, on => (faults.dark = on));
      case FaultKind.SERVER_LOSES_ANSWERS:
        return this.hold(fault, name, on => (faults.losesAnswers = on));
      case FaultKind.SERVER_SPOILS:
        return this.hold(fault, name, on => (faults.spoils = on));
      case FaultKind.SERVER_FAILS:
        return this.hold(fault, name, on => (faults.fails = on));
      case FaultKind.SERVER_SHEDS:
        return this.hold(fault, name, on => (faults.sheds = on));
      case FaultKind.SERVER_LINK_RESET:
        return this.during(fault, name, async () => link.reset());
      case FaultKind.SERVER_LINK_ONE_WAY:
        return this.hold(fault, name, on => (link.faults.oneWay = on));
      case FaultKind.SERVER_LINK_SLOW:
        return this.hold(
          fault,
          name,
          on => (link.faults.delayMs = on ? SLOW_MS : 0),
        );
      default:
        throw new Error(`no such fault: ${fault.kind}`);
    }
  }

  private async during(
    {kind}: Fault,
    target: string,
    act: () => Promise<void>,
    planned = false,
  ): Promise<void> {
    const fromMs = this.system.getNowMs();
    const span: FaultSpan = {kind, target, fromMs, toMs: Infinity, planned};
    this.history.faults.push(span);
    await act();
    span.toMs = this.system.getNowMs();
  }

  /** Switches something on for the length of a fault. */
  private async hold(
    fault: Fault,
    target: string,
    set: (on: boolean) => void,
  ): Promise<void> {
    const key = `${fault.kind} ${target}`;
    await this.during(fault, target, async () => {
      this.held.set(key, (this.held.get(key) ?? 0) + 1);
      set(true);
      await wait(fault.forMs);
      const left = (this.held.get(key) ?? 1) - 1;
      this.held.set(key, left);
      if (left === 0) {
        set(false);
      }
    });
  }
}
