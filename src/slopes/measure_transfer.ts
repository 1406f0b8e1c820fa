import {LogFields} from '../log/index.js';
import {SeededRandom} from '../random/index.js';
import {
  SimulatedHost,
  SimulatedHosts,
  SIMULATED_TABLE,
} from './simulated_hosts.js';

/** A measured fleet and configuration. */
interface TransferSize {
  readonly hosts: number;
  readonly routes: number;
  /** Speed of the links of the aggregators, in Mbit/s. */
  readonly aggregatorMbps: number;
  readonly inBulk: boolean;
}

const MEMBER_MBPS = 10;
/** Hosts of a data centre; the first one is its aggregator, the first of all reads. */
const HOSTS_PER_CENTRE = 16;
/** Routes of a configuration of 420 kB, and of one of 4 MiB. */
const ROUTES = [1690, 16_900] as const;
const CHANGES = 4;
const CHANGE_INTERVAL_MS = 1000;
const CHANGED_ROUTES = 5;
const HEARTBEAT_MS = 400;
/** Interval at which one host after the other restarts, in milliseconds. */
const RESTART_MS = 500;
/** Time after the first change for which a fleet is measured, in milliseconds. */
const MEASURED_MS = 20_000;
const STEP_MS = 20;
/** Time for the first configuration before the measurement, in milliseconds. */
const SETTLE_MS = 60_000;
/** Time within which a configuration must be in force, in milliseconds. */
const BOUND_MS = 3000;

/**
 * Measures the bytes on the links, the time until every host has a configuration that is
 * changed four times in 4 s while hosts restart, and the delay of heartbeats.
 */
export async function measureTransfer(): Promise<LogFields[]> {
  const lines: LogFields[] = [];
  for (const routes of ROUTES) {
    for (const hosts of [16, 64]) {
      for (const aggregatorMbps of [200, MEMBER_MBPS]) {
        for (const inBulk of [false, true]) {
          const size = {hosts, routes, aggregatorMbps, inBulk};
          lines.push(await new TransferRun(size).run());
        }
      }
    }
  }
  return lines;
}

/** One simulated fleet. */
class TransferRun {
  private readonly fleet = new SimulatedHosts();
  private readonly random = new SeededRandom(1);
  private readonly routes: string[];
  /** When each version was acknowledged by the store, in virtual milliseconds. */
  private readonly changedMs = new Map<number, number>();
  private readonly startedMs = new Map<string, number>();
  private readonly lateMs: number[] = [];
  private readonly known = new Map<string, number>();
  private version = 1;
  private maxHeartbeatMs = 0;
  private isReading = false;

  constructor(private readonly size: TransferSize) {
    this.routes = Array.from({length: size.routes}, (_unused, index) =>
      this.createRoute(index),
    );
    for (let index = 0; index < size.hosts; index++) {
      this.start(index);
    }
  }

  async run(): Promise<LogFields> {
    const {clock} = this.fleet;
    await this.settle();
    for (const {link} of this.fleet.hosts.values()) {
      link.sentBytes = 0;
      link.receivedBytes = 0;
    }
    const startMs = clock.monotonicMs();
    const textBytes = this.createText().length;
    for (let step = 0; step * STEP_MS < MEASURED_MS; step++) {
      const ms = step * STEP_MS;
      if (ms % CHANGE_INTERVAL_MS === 0 && ms < CHANGES * CHANGE_INTERVAL_MS) {
        this.change();
      }
      if (ms % RESTART_MS === 0 && ms < CHANGES * CHANGE_INTERVAL_MS) {
        this.start(this.pickMember(ms / RESTART_MS));
      }
      if (ms % HEARTBEAT_MS === 0) {
        this.sendHeartbeats();
      }
      await clock.advance(STEP_MS);
      this.recordVersions();
      if (ms > CHANGES * CHANGE_INTERVAL_MS && this.isDone()) {
        break;
      }
    }
    return this.describe(textBytes, clock.monotonicMs() - startMs);
  }

  /** Gives every host the first configuration. */
  private async settle(): Promise<void> {
    const text = this.createText();
    for (const {replica} of this.fleet.hosts.values()) {
      const row = {key: 'configuration', version: 1, text};
      replica.addSnapshot([row], 1, 'start');
    }
    await this.fleet.clock.advance(SETTLE_MS);
  }

  private change(): void {
    this.version++;
    for (let count = 0; count < CHANGED_ROUTES; count++) {
      const index = Math.floor(this.random.next() * this.routes.length);
      this.routes[index] = this.createRoute(index);
    }
    this.changedMs.set(this.version, this.fleet.clock.monotonicMs());
    void this.read();
  }

  /** Reads the store at the first aggregator, one reading at a time. */
  private async read(): Promise<void> {
    if (this.isReading) {
      return;
    }
    this.isReading = true;
    const reader = this.fleet.hosts.get('host-0');
    while (reader !== undefined && reader.replica.getVersion() < this.version) {
      const {version} = this;
      const text = this.createText();
      await this.fleet.readStore(reader.name, Math.ceil(text.length / 3) * 4);
      const rows = [{key: 'configuration', version, text}];
      reader.replica.addChanges(
        {rows, after: reader.replica.getVersion(), version},
        'store',
      );
    }
    this.isReading = false;
  }

  private start(index: number): void {
    const {hosts, aggregatorMbps, inBulk} = this.size;
    const isAggregator = index % HOSTS_PER_CENTRE === 0;
    const receivers: string[] = [];
    for (let other = 0; other < hosts; other++) {
      const isMember =
        isAggregator &&
        getCentre(other) === getCentre(index) &&
        other !== index;
      const isRemote =
        index === 0 && other > 0 && other % HOSTS_PER_CENTRE === 0;
      if (isMember || isRemote) {
        receivers.push(`host-${other}`);
      }
    }
    const name = `host-${index}`;
    const linkMbps = isAggregator ? aggregatorMbps : MEMBER_MBPS;
    this.fleet.start({name, linkMbps, inBulk, receivers});
    this.startedMs.set(name, this.fleet.clock.monotonicMs());
    this.known.delete(name);
  }

  private pickMember(count: number): number {
    const centres = this.size.hosts / HOSTS_PER_CENTRE;
    return (
      (count % centres) * HOSTS_PER_CENTRE + 1 + Math.floor(count / centres)
    );
  }

  private sendHeartbeats(): void {
    for (const {name, receivers} of this.fleet.hosts.values()) {
      for (const receiver of receivers) {
        void this.fleet.reportStates(name, receiver).then(ms => {
          this.maxHeartbeatMs = Math.max(this.maxHeartbeatMs, ms);
        });
      }
    }
  }

  /** Records how late each host has each version. */
  private recordVersions(): void {
    const nowMs = this.fleet.clock.monotonicMs();
    for (const {name, replica} of this.fleet.hosts.values()) {
      const version = replica.getVersion();
      const startedMs = this.startedMs.get(name) ?? 0;
      for (const [changed, changedMs] of this.changedMs) {
        if (changed <= version && changed > (this.known.get(name) ?? 1)) {
          this.lateMs.push(nowMs - Math.max(changedMs, startedMs));
        }
      }
      this.known.set(name, version);
    }
  }

  private isDone(): boolean {
    return this.listHosts().every(
      ({replica}) => replica.getVersion() === this.version,
    );
  }

  private describe(textBytes: number, ms: number): LogFields {
    const members = this.listHosts().filter(
      (_host, index) => index % HOSTS_PER_CENTRE !== 0,
    );
    const received = members.map(({link}) => link.receivedBytes);
    const late = this.lateMs.filter(lateMs => lateMs > BOUND_MS).length;
    const {hosts, aggregatorMbps, inBulk} = this.size;
    return {
      slope: 'transfer',
      hosts,
      row_kb: Math.round(textBytes / 1000),
      aggregator_mbps: aggregatorMbps,
      bulk: inBulk,
      reader_sent_kb: Math.round(
        (this.fleet.hosts.get('host-0')?.link.sentBytes ?? 0) / 1000,
      ),
      member_received_kb_mean: Math.round(
        received.reduce((a, b) => a + b, 0) / received.length / 1000,
      ),
      member_received_kb_max: Math.round(Math.max(...received) / 1000),
      in_force_ms_max: this.isDone()
        ? Math.round(Math.max(...this.lateMs))
        : -1,
      late,
      versions: this.lateMs.length,
      heartbeat_ms_max: Math.round(this.maxHeartbeatMs),
      measured_ms: ms,
    };
  }

  private listHosts(): SimulatedHost[] {
    return [...this.fleet.hosts.values()];
  }

  private createText(): string {
    const {version} = this;
    return `{"table":"${SIMULATED_TABLE}","revision":${version},"routes":[${this.routes.join(',')}]}`;
  }

  private createRoute(index: number): string {
    const next = () => Math.floor(this.random.next() * 1e9).toString(36);
    return JSON.stringify({
      name: `route-${index}`,
      path: `/v1/customers/${next()}/${next()}`,
      service: `service-${index % 40}`,
      customer: `customer-${index % 16}`,
      kind: 'stream',
      rank: index % 3,
      target_ms: 200 + (index % 1800),
      timeout_ms: 20_000,
      attempts: 3,
      headers: {'X-Origin': next(), 'X-Variant': next()},
    });
  }
}

function getCentre(index: number): number {
  return Math.floor(index / HOSTS_PER_CENTRE);
}
