import {Result} from 'true-myth';
import {
  ChangeFailureKind,
  ConfigurationDelta,
  ConfigurationStore,
  ConfigurationTable,
  RecordKind,
} from '../configuration/index.js';
import {ConfigurationFeed} from '../daemon/index.js';
import {SilentLog} from '../log/index.js';
import {HostStatus, Membership} from '../membership/index.js';
import {InForceMonitor} from '../operator/index.js';
import {PeerFailure, PeerFailureKind} from '../peer/index.js';
import {HostRole, HostState, ListedHost} from '../host_list/index.js';
import {MemoryTableService} from '../table/index.js';
import {VirtualClock} from '../time/index.js';
import {
  ConfigurationSchedule,
  ConfigurationStep,
  HOST_COUNT,
} from './configuration_schedule.js';
import {FaultyTable, TableFault} from './faulty_table.js';
import {Gate, GatedClock} from './gate.js';
import {createGatedTable} from './gated_table.js';
import {RunReport} from './proof.js';

const IN_FORCE_TIMEOUT_MS = 4000;
const HEARTBEAT_INTERVAL_MS = 500;
const POLL_INTERVAL_MS = 1000;
const SETTLE_MS = 30_000;
const PEER_LATENCY_MS = 5;
const SLOW_PEER_LATENCY_MS = 900;

/** The broken variant: a full snapshot of a lower revision replaces the store. */
class RevertingStore extends ConfigurationStore {
  override apply(delta: ConfigurationDelta, source: string): boolean {
    if (delta.after === 0 && delta.revision < this.getRevision()) {
      this.reset();
    }
    return super.apply(delta, source);
  }
}

/** One incarnation of an entry host, reduced to its configuration. */
interface SimulatedHost {
  readonly name: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly gate: Gate;
  readonly store: ConfigurationStore;
  readonly feed: ConfigurationFeed;
  readonly table: ConfigurationTable;
  readonly membership: Membership;
  readonly inForce: InForceMonitor;
  readonly stop: AbortController;
  highestRevision: number;
  cut: boolean;
}

/** Simulates four entry hosts in two data centres on a virtual clock. */
export class ConfigurationSimulation {
  private readonly clock = new VirtualClock();
  private readonly table = new FaultyTable(
    new MemoryTableService(),
    this.clock,
  );
  private readonly hosts: SimulatedHost[] = [];
  private readonly violations: string[] = [];
  private readonly winners = new Map<string, string>();
  private incarnationCount = 0;
  private changes = 0;
  private accepted = 0;
  private refused = 0;
  private unknown = 0;
  private faults = 0;
  private slowPeers = false;

  constructor(private readonly broken: boolean) {}

  /** Runs a schedule and checks that the hosts converge. */
  async run(schedule: ConfigurationSchedule): Promise<RunReport> {
    for (let index = 0; index < HOST_COUNT; index++) {
      this.hosts.push(this.startHost(index));
    }
    const stop = new AbortController();
    void this.exchangeHeartbeats(stop.signal);
    await this.clock.advance(POLL_INTERVAL_MS);
    for (const {afterMs, step} of schedule) {
      await this.clock.advance(afterMs);
      this.execute(step);
    }
    await this.clock.advance(SETTLE_MS);
    this.checkConverged();
    stop.abort();
    for (const host of this.hosts) {
      host.stop.abort();
    }
    return {
      violations: this.violations,
      operations: this.changes,
      faults: this.faults,
      answered: this.accepted,
      refused: this.refused,
      unknown: this.unknown,
    };
  }

  private execute(step: ConfigurationStep): void {
    if (step.kind === 'change') {
      void this.change(step);
      return;
    }
    this.faults++;
    if (step.kind === 'table') {
      this.table.fault = step.fault;
      this.runAfter(step.forMs, () => (this.table.fault = TableFault.NONE));
      return;
    }
    if (step.kind === 'slow-peers') {
      this.slowPeers = true;
      this.runAfter(step.forMs, () => (this.slowPeers = false));
      return;
    }
    const host = this.getHost(step.host);
    if (step.kind === 'cut') {
      host.cut = true;
      this.runAfter(step.forMs, () => (host.cut = false));
    } else if (step.kind === 'freeze') {
      host.gate.freeze();
      this.runAfter(step.forMs, () => host.gate.thaw());
    } else {
      host.gate.kill();
      host.stop.abort();
      this.hosts[step.host % HOST_COUNT] = this.startHost(
        step.host % HOST_COUNT,
      );
    }
  }

  /** Writes a record, based on the revision that the operator's host has. */
  private async change(
    step: Extract<ConfigurationStep, {readonly kind: 'change'}>,
  ): Promise<void> {
    const host = this.getHost(step.host);
    if (host.gate.isDead()) {
      return;
    }
    const name = `record-${step.record}`;
    const changeId = `change-${this.changes++}`;
    const madeOn =
      host.store.getRecord(`${RecordKind.CUSTOMER}/${name}`)?.revision ?? 0;
    const written = await host.gate.call(() =>
      host.table.write(
        {
          kind: RecordKind.CUSTOMER,
          name,
          document: createDocument(name, changeId, step.version),
          madeOn,
          changeId,
        },
        5000,
      ),
    );
    if (written.isErr) {
      const conflict = written.error.kind === ChangeFailureKind.CONFLICT;
      const unreached = written.error.kind === ChangeFailureKind.UNREACHED;
      this.refused += conflict || unreached ? 1 : 0;
      this.unknown += conflict || unreached ? 0 : 1;
      return;
    }
    this.accepted++;
    this.checkSoleWinner(`${name}@${madeOn}`, changeId);
    await host.feed.readTable();
    const {revision} = written.value;
    const report = await host.inForce.wait(revision, IN_FORCE_TIMEOUT_MS);
    for (const centre of report.inForce) {
      this.checkInForce(centre, revision);
    }
  }

  /** Of several changes based on the same revision, only one may be accepted. */
  private checkSoleWinner(base: string, changeId: string): void {
    const other = this.winners.get(base);
    if (other !== undefined) {
      this.violations.push(
        `${changeId} and ${other} were both accepted on ${base}`,
      );
    }
    this.winners.set(base, changeId);
  }

  private checkInForce(dataCentre: string, revision: number): void {
    for (const host of this.hosts) {
      const serving =
        host.dataCentre === dataCentre &&
        !host.gate.isDead() &&
        host.store.getRevision() > 0;
      if (serving && host.store.getRevision() < revision) {
        this.violations.push(
          `revision ${revision} was reported in force in ${dataCentre}, but ${host.name} is at ${host.store.getRevision()}`,
        );
      }
    }
  }

  private checkConverged(): void {
    const highest = Math.max(...this.hosts.map(host => host.highestRevision));
    for (const host of this.hosts) {
      if (host.gate.isRunning() && host.store.getRevision() < highest) {
        this.violations.push(
          `${host.name} is still at revision ${host.store.getRevision()} instead of ${highest}`,
        );
      }
    }
    const contents = new Set(
      this.hosts
        .filter(host => host.gate.isRunning())
        .map(host => JSON.stringify(sortRecords(host.store))),
    );
    if (contents.size > 1) {
      this.violations.push('running hosts hold different records at the end');
    }
  }

  private startHost(index: number): SimulatedHost {
    const name = `host-${index}`;
    const dataCentre = getDataCentre(index);
    const incarnation = `start-${this.incarnationCount++}`;
    const gate = new Gate();
    const clock = new GatedClock(this.clock, gate);
    const log = new SilentLog();
    const store = this.broken
      ? new RevertingStore(log)
      : new ConfigurationStore(log);
    const table = new ConfigurationTable(
      createGatedTable(gate, this.table),
      clock,
    );
    const membership = new Membership({
      self: {host: name, dataCentre, incarnation, address: name},
      deadAfterMs: 2000,
      clock,
      log,
    });
    const feed = new ConfigurationFeed({
      clock,
      log,
      store,
      table,
      requestPeer: (to, body) =>
        gate.call(() => this.requestPeer(name, to, body)),
      host: name,
      listLiveNamesHere: () => membership.listLiveNamesHere(),
      pollMs: POLL_INTERVAL_MS,
    });
    const host: SimulatedHost = {
      name,
      dataCentre,
      incarnation,
      gate,
      store,
      feed,
      table,
      membership,
      inForce: new InForceMonitor(dataCentre, store, membership, clock),
      stop: new AbortController(),
      highestRevision: 0,
      cut: false,
    };
    store.addListener(view => {
      if (view.revision < host.highestRevision) {
        this.violations.push(
          `${name} returned from revision ${host.highestRevision} to ${view.revision}`,
        );
      }
      host.highestRevision = Math.max(host.highestRevision, view.revision);
    });
    membership.addListed(LISTED_HOSTS);
    void feed.run(host.stop.signal);
    return host;
  }

  /** Exchanges heartbeats, reduced to what the configuration depends on. */
  private async exchangeHeartbeats(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const from of this.hosts) {
        for (const to of this.hosts) {
          if (from !== to && this.isConnected(from, to)) {
            this.deliverHeartbeat(from, to);
          }
        }
      }
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  private deliverHeartbeat(from: SimulatedHost, to: SimulatedHost): void {
    const status = this.createStatus(from);
    to.membership.addStatus(status);
    if (status.revision > to.store.getRevision()) {
      void to.feed.pull(from.name);
    }
  }

  private createStatus(host: SimulatedHost): HostStatus {
    const revision = host.store.getRevision();
    return {
      host: host.name,
      dataCentre: host.dataCentre,
      incarnation: host.incarnation,
      state: 'live',
      revision,
      centreRevision: host.membership.getCentreRevision(revision),
      loads: [],
      usage: [],
      detailVersion: 0,
    };
  }

  private async requestPeer(
    from: string,
    to: string,
    body: unknown,
  ): Promise<Result<unknown, PeerFailure>> {
    const source = this.hosts.find(host => host.name === from);
    const target = this.hosts.find(host => host.name === to);
    if (!source || !target || !this.isConnected(source, target)) {
      await this.clock.sleep(PEER_LATENCY_MS);
      const failure = new PeerFailure(
        PeerFailureKind.NOT_SENT,
        'no connection',
      );
      return Result.err(failure);
    }
    const {after} = body as {after: number};
    const delta = target.store.getDelta(after);
    await this.clock.sleep(
      this.slowPeers ? SLOW_PEER_LATENCY_MS : PEER_LATENCY_MS,
    );
    return Result.ok(delta);
  }

  private isConnected(a: SimulatedHost, b: SimulatedHost): boolean {
    return a.gate.isRunning() && b.gate.isRunning() && !a.cut && !b.cut;
  }

  private getHost(index: number): SimulatedHost {
    const host = this.hosts[index % HOST_COUNT];
    if (host === undefined) {
      throw new Error(`no host with index ${index}`);
    }
    return host;
  }

  private runAfter(ms: number, act: () => void): void {
    void this.clock.sleep(ms).then(act);
  }
}

function getDataCentre(index: number): string {
  return index < HOST_COUNT / 2 ? 'tac-hall' : 'pdx-hall';
}

/** The platform's host list, which contains every host for the whole run. */
const LISTED_HOSTS: readonly ListedHost[] = Array.from(
  {length: HOST_COUNT},
  (_unused, index) => ({
    name: `host-${index}`,
    role: HostRole.ENTRY,
    dataCentre: getDataCentre(index),
    zone: 'a',
    machineClass: 'standard',
    address: `host-${index}`,
    state: HostState.LIVE,
  }),
);

function createDocument(name: string, changeId: string, version: number) {
  const common = {
    kind: RecordKind.CUSTOMER,
    name,
    keyHashes: ['0'.repeat(64)],
    note: changeId,
  };
  return version === 1
    ? {...common, schemaVersion: 1, share: 2}
    : {...common, schemaVersion: 2, weight: 2};
}

function sortRecords(store: ConfigurationStore): unknown[] {
  const records = [...store.listRecords()];
  records.sort((a, b) => (a.name < b.name ? -1 : 1));
  return records;
}
