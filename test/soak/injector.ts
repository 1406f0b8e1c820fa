import {Callers} from './callers.js';
import {FaultSpan, History} from './history.js';
import {Fault, FaultKind, AGGREGATOR} from './schedule.js';
import {LIMIT, SoakServer} from './soak_server.js';
import {SoakSystem, wait} from './soak_system.js';

/** Delay on a slow link, in milliseconds. */
const SLOW_MS = 80;
/** Time after which a killed process is started again, in milliseconds. */
const RESTART_MS = 100;

/** Brings faults about, and mends them. */
export class Injector {
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
    const host =
      fault.target === AGGREGATOR
        ? await system.findAggregator()
        : system.getHost(fault.target);
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

  private injectAtServer(fault: Fault, server: SoakServer): Promise<void> {
    const {name, faults, link} = server;
    const {system} = this;
    switch (fault.kind) {
      case FaultKind.SERVER_CRASH:
        return this.during(fault, name, () => system.crashServer(server));
      case FaultKind.SERVER_REBORN:
        return this.during(fault, name, () => system.crashServer(server, true));
      case FaultKind.SERVER_LEAVES:
        return this.during(fault, name, () => system.drainServer(server));
      case FaultKind.SERVER_REMOVED:
        return this.during(fault, name, () =>
          system.drainServer(server, false),
        );
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
      case FaultKind.SERVER_LIMITS:
        return this.limit(fault, server);
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

  /** Has a server name a limit, and notes for how long it did. */
  private async limit(fault: Fault, server: SoakServer): Promise<void> {
    const fromMs = this.system.getNowMs();
    await this.hold(fault, server.name, on => (server.faults.limits = on));
    this.history.limits.push({
      server: server.start,
      perSecond: LIMIT,
      fromMs,
      toMs: this.system.getNowMs(),
    });
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
