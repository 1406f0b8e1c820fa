import {Callers} from './callers.js';
import {FaultSpan, History} from './history.js';
import {Fault, FaultKind, AGGREGATOR} from './schedule.js';
import {LIMIT_PER_SECOND, SoakServer} from './soak_server.js';
import {SoakSystem, wait} from './soak_system.js';

/** Delay on a slow link, in milliseconds. */
const SLOW_MS = 80;
/** Time after which a killed process is restarted, in milliseconds. */
const RESTART_MS = 100;

/** Injects faults and ends them. */
export class FaultInjector {
  /** Active faults by switch; if several overlap, the last one to end switches it off. */
  private readonly activeCounts = new Map<string, number>();

  constructor(
    private readonly system: SoakSystem,
    private readonly history: History,
    private readonly callers: Callers,
  ) {}

  /** Injects one fault; resolves once it has ended. */
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
        return this.recordDuring(fault, name, () =>
          system.killHost(host, fault.forMs),
        );
      case FaultKind.ALL_KILLED:
        return this.recordDuring(fault, '', async () => {
          await Promise.all(
            system.hosts.map(each => system.killHost(each, RESTART_MS)),
          );
        });
      case FaultKind.HOST_STOP:
        return this.recordDuring(
          fault,
          name,
          () => system.stopHost(host),
          true,
        );
      case FaultKind.HOST_RELOAD:
        return this.recordDuring(fault, 'settings', () => host.reload());
      case FaultKind.HOST_FREEZE:
        return this.switchOnDuring(fault, name, on =>
          host.signal(on ? 'SIGSTOP' : 'SIGCONT'),
        );
      case FaultKind.HOST_PARTITIONED:
        return this.switchOnDuring(fault, name, on =>
          system.setPartitioned(host, on),
        );
      case FaultKind.SERVERS_BRITTLE:
        return this.switchOnDuring(fault, 'servers', on =>
          system.setBrittle(on),
        );
      case FaultKind.SERVERS_SILENT:
        return this.switchOnDuring(fault, 'servers', on =>
          system.setSilent(on),
        );
      case FaultKind.SERVERS_REJECT:
        return this.switchOnDuring(fault, 'servers', on =>
          system.setRejecting(on),
        );
      case FaultKind.STORE_BUSY:
        return this.switchOnDuring(fault, '', on => (store.faults.busy = on));
      case FaultKind.STORE_SILENT:
        return this.switchOnDuring(
          fault,
          '',
          on => (store.faults.unresponsive = on),
        );
      case FaultKind.STORE_LOSES_ANSWERS:
        return this.switchOnDuring(
          fault,
          '',
          on => (store.faults.dropWriteResponses = on),
        );
      case FaultKind.STORE_DEAF:
        return this.switchOnDuring(
          fault,
          '',
          on => (store.faults.staleWatches = on),
        );
      case FaultKind.STORE_FORGETS:
        return this.recordDuring(fault, '', async () => store.dropHistory());
      case FaultKind.STORE_RESTORED:
        return this.recordDuring(fault, '', () =>
          system.restoreStore(fault.forMs),
        );
      case FaultKind.STORE_LINK_CUT:
        return this.switchOnDuring(fault, name, on => {
          host.storeLink.faults.silent = on;
          host.storeLink.reset();
        });
      case FaultKind.STORE_LINK_SLOW:
        return this.switchOnDuring(fault, name, on => {
          host.storeLink.faults.delayMs = on ? SLOW_MS : 0;
        });
      case FaultKind.FOREIGN_ENTRY:
        return this.switchOnDuring(fault, 'entries', on => {
          if (on) {
            store.putText('servers', 'x-1', '{"state": 7');
            store.put('servers', 'x-2', {state: 'ready', address: 'nowhere'});
          } else {
            store.remove('servers', 'x-1');
            store.remove('servers', 'x-2');
          }
        });
      case FaultKind.CHANGE:
        return this.recordDuring(fault, 'routes', async () =>
          system.changeRoutes(),
        );
      case FaultKind.CALLERS_PRESS:
        return this.switchOnDuring(
          fault,
          'callers',
          on => (this.callers.faults.exceedRate = on),
        );
      case FaultKind.CALLERS_LEAVE:
        return this.switchOnDuring(
          fault,
          'callers',
          on => (this.callers.faults.abandonRequests = on),
        );
      case FaultKind.ENDING_REQUEST:
        // The flag stays set until the end of the run: the caller does not stop retrying.
        this.callers.faults.crashServers = true;
        return this.recordDuring(fault, 'servers', () => wait(fault.forMs));
      case FaultKind.CRASHING_PART:
        this.callers.faults.crashByPart = true;
        return this.recordDuring(fault, 'servers', () => wait(fault.forMs));
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
        return this.recordDuring(fault, name, () => system.crashServer(server));
      case FaultKind.SERVER_REBORN:
        return this.recordDuring(fault, name, () =>
          system.crashServer(server, true),
        );
      case FaultKind.SERVER_LEAVES:
        return this.recordDuring(fault, name, () => system.drainServer(server));
      case FaultKind.SERVER_REMOVED:
        return this.recordDuring(fault, name, () =>
          system.drainServer(server, false),
        );
      case FaultKind.SERVER_STATES_LEAVING:
        return this.recordDuring(fault, name, () =>
          system.drainUnrecordedServer(server),
        );
      case FaultKind.SERVER_ASKS_FOR_BACKOFF:
        return this.switchOnDuring(
          fault,
          name,
          on => (faults.asksForBackoff = on),
        );
      case FaultKind.SERVER_DARK:
        return this.switchOnDuring(
          fault,
          name,
          on => (faults.unresponsive = on),
        );
      case FaultKind.SERVER_LOSES_ANSWERS:
        return this.switchOnDuring(
          fault,
          name,
          on => (faults.losesAnswers = on),
        );
      case FaultKind.SERVER_SPOILS:
        return this.switchOnDuring(
          fault,
          name,
          on => (faults.corruptsAnswers = on),
        );
      case FaultKind.SERVER_UNFRAMED:
        return this.switchOnDuring(
          fault,
          name,
          on => (faults.omitsFraming = on),
        );
      case FaultKind.SERVER_SILENT:
        return this.switchOnDuring(fault, name, on =>
          server.setSilent(fault.kind, on),
        );
      case FaultKind.SERVER_ENDLESS:
        return this.switchOnDuring(fault, name, on => (faults.neverEnds = on));
      case FaultKind.SERVER_FAILS:
        return this.switchOnDuring(fault, name, on => (faults.fails = on));
      case FaultKind.SERVER_SHEDS:
        return this.switchOnDuring(fault, name, on => (faults.shedsLoad = on));
      case FaultKind.SERVER_LIMITS:
        return this.announceLimit(fault, server);
      case FaultKind.SERVER_LINK_RESET:
        return this.recordDuring(fault, name, async () => link.reset());
      case FaultKind.SERVER_LINK_ONE_WAY:
        return this.switchOnDuring(
          fault,
          name,
          on => (link.faults.oneWay = on),
        );
      case FaultKind.SERVER_LINK_SLOW:
        return this.switchOnDuring(
          fault,
          name,
          on => (link.faults.delayMs = on ? SLOW_MS : 0),
        );
      default:
        throw new Error(`unknown kind of fault: ${fault.kind}`);
    }
  }

  /** Makes a server announce a limit, and records for how long. */
  private async announceLimit(fault: Fault, server: SoakServer): Promise<void> {
    const fromMs = this.system.getNowMs();
    await this.switchOnDuring(
      fault,
      server.name,
      on => (server.faults.limits = on),
    );
    this.history.limits.push({
      server: server.incarnation,
      perSecond: LIMIT_PER_SECOND,
      fromMs,
      toMs: this.system.getNowMs(),
    });
  }

  private async recordDuring(
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

  /** Keeps a switch on for the duration of a fault. */
  private async switchOnDuring(
    fault: Fault,
    target: string,
    set: (on: boolean) => void,
  ): Promise<void> {
    const key = `${fault.kind} ${target}`;
    await this.recordDuring(fault, target, async () => {
      this.activeCounts.set(key, (this.activeCounts.get(key) ?? 0) + 1);
      set(true);
      await wait(fault.forMs);
      const remaining = (this.activeCounts.get(key) ?? 1) - 1;
      this.activeCounts.set(key, remaining);
      if (remaining === 0) {
        set(false);
      }
    });
  }
}
