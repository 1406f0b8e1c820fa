import fc from 'fast-check';
import {Server} from '../configuration/index.js';
import {PlatformWatcher} from '../daemon/index.js';
import {SilentLog} from '../log/index.js';
import {LeavingHosts, Membership} from '../membership/index.js';
import {
  HostList,
  HostRole,
  HostState,
  ListedHost,
  ReclaimNotice,
} from '../host_list/index.js';
import {Result} from 'true-myth';
import {VirtualClock} from '../time/index.js';
import {findCandidates} from '../routing/index.js';
import {Proof, RunReport} from './proof.js';

/** One step of a schedule of reclaim notices, disconnections and list delays. */
export type LeavingStep =
  | {readonly kind: 'notice'; readonly server: number}
  | {
      readonly kind: 'cut-platform' | 'cut-peers';
      readonly host: number;
      readonly forMs: number;
    }
  | {readonly kind: 'lag'; readonly lagMs: number};

/** Steps in order; `afterMs` is the delay since the previous step. */
export type LeavingSchedule = readonly {
  readonly afterMs: number;
  readonly step: LeavingStep;
}[];

const HOST_COUNT = 4;
const SERVER_COUNT = 3;
const HEARTBEAT_INTERVAL_MS = 1000;
const POLL_INTERVAL_MS = 1000;
/**
 * Longest time after a notice in which a host may still send work to the server:
 * a poll, a heartbeat, and a second of margin.
 */
export const LEAVING_BOUND_MS = 3000;
const SETTLE_MS = 10_000;

/** One entry host, reduced to its knowledge of leaving servers. */
interface SimulatedHost {
  readonly name: string;
  readonly leaving: LeavingHosts;
  readonly watcher: PlatformWatcher;
  platformDisconnected: boolean;
  peersDisconnected: boolean;
  /** When it last could not receive notices, from the platform or from peers. */
  lastIsolatedMs: number;
}

/** Simulates four hosts that send work to three servers, on a virtual clock. */
class LeavingSimulation {
  private readonly clock = new VirtualClock();
  private readonly hosts: SimulatedHost[] = [];
  private readonly noticeTimes = new Map<string, number>();
  private lagMs = 0;
  private sent = 0;
  private faults = 0;
  private readonly violations: string[] = [];

  constructor(private readonly broken: boolean) {}

  async run(schedule: LeavingSchedule): Promise<RunReport> {
    const stop = new AbortController();
    for (let index = 0; index < HOST_COUNT; index++) {
      this.hosts.push(this.createHost(index));
    }
    for (const host of this.hosts) {
      void host.watcher.run(stop.signal);
    }
    void this.exchangeHeartbeats(stop.signal);
    void this.sendWork(stop.signal);
    for (const {afterMs, step} of schedule) {
      await this.clock.advance(afterMs);
      this.execute(step);
    }
    await this.clock.advance(SETTLE_MS);
    stop.abort();
    return {
      violations: this.violations,
      operations: this.sent,
      faults: this.faults,
      answered: this.sent,
      refused: 0,
      unknown: 0,
    };
  }

  private execute(step: LeavingStep): void {
    this.faults++;
    if (step.kind === 'notice') {
      const server = `server-${step.server}`;
      if (!this.noticeTimes.has(server)) {
        this.noticeTimes.set(server, this.clock.monotonicMs());
      }
      return;
    }
    if (step.kind === 'lag') {
      this.lagMs = step.lagMs;
      return;
    }
    const host = this.hosts[step.host];
    if (host === undefined) {
      return;
    }
    if (step.kind === 'cut-platform') {
      host.platformDisconnected = true;
      void this.clock
        .sleep(step.forMs)
        .then(() => (host.platformDisconnected = false));
      return;
    }
    host.peersDisconnected = true;
    void this.clock
      .sleep(step.forMs)
      .then(() => (host.peersDisconnected = false));
  }

  private createHost(index: number): SimulatedHost {
    const log = new SilentLog();
    const name = `host-${index}`;
    const leaving = new LeavingHosts(this.clock, log);
    const host: SimulatedHost = {
      name,
      leaving,
      watcher: new PlatformWatcher({
        clock: this.clock,
        log,
        hostList: this.createHostList(index),
        membership: new Membership({
          self: {
            host: name,
            dataCentre: 'tac-hall',
            incarnation: name,
            address: name,
          },
          deadAfterMs: 2000,
          clock: this.clock,
          log,
        }),
        leavingHosts: leaving,
        host: name,
        onOwnNotice: () => undefined,
        pollMs: POLL_INTERVAL_MS,
      }),
      platformDisconnected: false,
      peersDisconnected: false,
      lastIsolatedMs: 0,
    };
    return host;
  }

  private createHostList(index: number): HostList {
    const isDisconnected = () =>
      this.hosts[index]?.platformDisconnected === true;
    return {
      listHosts: async () =>
        isDisconnected()
          ? Result.err('no connection')
          : Result.ok(this.listHosts()),
      listNotices: async () =>
        isDisconnected()
          ? Result.err('no connection')
          : Result.ok(this.broken ? [] : this.listNotices()),
    };
  }

  /** Lists a server as leaving only once `lagMs` has passed since its notice. */
  private listHosts(): ListedHost[] {
    const asOfMs = this.clock.monotonicMs() - this.lagMs;
    return Array.from({length: SERVER_COUNT}, (_unused, index) => {
      const name = `server-${index}`;
      const leaving = (this.noticeTimes.get(name) ?? Infinity) <= asOfMs;
      return {
        name,
        role: HostRole.BACKEND,
        dataCentre: 'tac-hall',
        zone: 'a',
        machineClass: 'standard',
        address: name,
        state: leaving ? HostState.LEAVING : HostState.LIVE,
      };
    });
  }

  private listNotices(): ReclaimNotice[] {
    return [...this.noticeTimes].map(([host, atMs]) => ({
      host,
      deadlineMs: atMs + 30_000,
    }));
  }

  /** Exchanges heartbeats, reduced to the reports of leaving hosts. */
  private async exchangeHeartbeats(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const from of this.hosts) {
        for (const to of this.hosts) {
          if (from !== to && !from.peersDisconnected && !to.peersDisconnected) {
            to.leaving.addReported(from.leaving.list(), from.name);
          }
        }
      }
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  /** Every host sends work every 100 ms to all servers that it considers usable. */
  private async sendWork(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const nowMs = this.clock.monotonicMs();
      const allDisconnected = this.hosts.every(
        host => host.platformDisconnected,
      );
      for (const host of this.hosts) {
        const isolated =
          host.platformDisconnected &&
          (host.peersDisconnected || allDisconnected);
        if (
          isolated ||
          (host.platformDisconnected && this.countInformedPeers(host) === 0)
        ) {
          host.lastIsolatedMs = nowMs;
        }
        this.sendFrom(host, nowMs);
      }
      await this.clock.sleep(100, signal);
    }
  }

  /** Counts the other hosts that are connected to both the platform and peers. */
  private countInformedPeers(host: SimulatedHost): number {
    return this.hosts.filter(
      other =>
        other !== host &&
        !other.platformDisconnected &&
        !other.peersDisconnected,
    ).length;
  }

  private sendFrom(host: SimulatedHost, nowMs: number): void {
    const candidates = findCandidates({
      deployment: DEPLOYMENT,
      adapter: '',
      servers: SERVER_RECORDS,
      isLeaving: server => host.leaving.isLeaving(server),
      getLoad: () => undefined,
    });
    for (const {name} of candidates) {
      this.sent++;
      const atMs = this.noticeTimes.get(name) ?? Infinity;
      // A host cannot know of a notice while it is isolated: the bound counts
      // from the end of the isolation.
      const sinceMs = Math.max(atMs, host.lastIsolatedMs);
      if (nowMs - sinceMs > LEAVING_BOUND_MS && nowMs > atMs) {
        this.violations.push(
          `${host.name} sent work to ${name} ${nowMs - atMs} ms after its reclaim notice`,
        );
      }
    }
  }
}

const DEPLOYMENT = {
  name: 'bids',
  target: {
    kind: 'service' as const,
    service: 'bids',
    repeat: 'never' as const,
    answersLookups: false,
  },
  customers: [],
  dataCentres: [],
  servers: [],
  urgency: 3,
  latencyTarget: {firstTokenMs: 310, betweenTokensMs: 72},
  weights: {recomputedToken: 1, lateSecond: 1},
  replicas: 1,
};

const SERVER_RECORDS: readonly Server[] = Array.from(
  {length: SERVER_COUNT},
  (_unused, index) => ({
    name: `server-${index}`,
    kind: 'service',
    dataCentre: 'tac-hall',
    zone: 'a',
    machineClass: 'standard',
    address: '127.0.0.1:1',
    service: 'bids',
    checksFence: false,
    drained: false,
  }),
);

const host = fc.integer({min: 0, max: HOST_COUNT - 1});
const steps: fc.Arbitrary<LeavingStep> = fc.oneof(
  fc.record({
    kind: fc.constant('notice' as const),
    server: fc.integer({min: 0, max: SERVER_COUNT - 1}),
  }) as fc.Arbitrary<LeavingStep>,
  fc.record({
    kind: fc.constantFrom('cut-platform' as const, 'cut-peers' as const),
    host,
    forMs: fc.integer({min: 200, max: 8000}),
  }) as fc.Arbitrary<LeavingStep>,
  fc.record({
    kind: fc.constant('lag' as const),
    lagMs: fc.constantFrom(0, 3000, 60_000),
  }) as fc.Arbitrary<LeavingStep>,
);

/** A leaving server receives no new work once `LEAVING_BOUND_MS` has passed. */
export const leavingGetsNothing: Proof<LeavingSchedule> = {
  name: 'leaving-gets-nothing',
  variant: 'ignores notices and relies on the delayed host list alone',
  schedules: fc.array(
    fc.record({afterMs: fc.constantFrom(0, 100, 700, 2500), step: steps}),
    {minLength: 2, maxLength: 8},
  ),
  run: (schedule, broken) => new LeavingSimulation(broken).run(schedule),
};
