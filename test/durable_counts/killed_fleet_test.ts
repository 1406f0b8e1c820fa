import {expect} from 'chai';
import {Duty, Lease} from '../../src/lease/index.js';
import {SilentLog} from '../../src/log/index.js';
import {VirtualClock} from '../../src/time/index.js';
import {UsageReporter} from '../../src/usage/index.js';
import {
  FailingTable,
  INTERVAL_MS,
  StoredHost,
  WINDOW_MS,
} from './stored_host.js';

const LEASE_MS = 3000;
const STEP_MS = 20;
const HEARTBEAT_MS = 400;
const RESTART_MS = 1000;
const HOSTS = ['a', 'b', 'c'];

/** Hosts with one request each per step, which report their usage. */
class Fleet {
  readonly clock = new VirtualClock(1_000_000);
  readonly table = new FailingTable();
  /** Number of requests, by window. */
  readonly truth = new Map<number, number>();
  /** Reported numbers of requests, by window. */
  readonly sent = new Map<number, Set<number>>();
  private hosts: StoredHost[] = [];
  private starts = 0;

  start(): void {
    this.starts++;
    this.hosts = HOSTS.map(name => this.startHost(`${name}/${this.starts}`));
  }

  kill(): void {
    this.hosts.forEach(host => host.stopped.abort());
    this.hosts = [];
  }

  async run(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      for (const {ledger} of this.hosts) {
        ledger.add('guild', 0);
        const window = ledger.getWindow(this.clock.now().getTime());
        this.truth.set(window, (this.truth.get(window) ?? 0) + 1);
      }
      if (passedMs % HEARTBEAT_MS === 0) {
        this.exchange();
      }
      await this.clock.advance(STEP_MS);
    }
  }

  private exchange(): void {
    for (const {hostUsage} of this.hosts) {
      this.hosts.forEach(other =>
        hostUsage.add(other.origin, other.ledger.list()),
      );
    }
  }

  private startHost(origin: string): StoredHost {
    const {clock, table} = this;
    const host = new StoredHost(clock, table, origin);
    const duty = new Duty({
      lease: new Lease({
        table,
        clock,
        role: 'duties',
        holder: origin,
        isOwnMachine: holder => holder[0] === origin[0],
        durationMs: LEASE_MS,
        marginMs: LEASE_MS / 3,
      }),
      clock,
      log: new SilentLog(),
      renewMs: LEASE_MS / 3,
      watchMs: LEASE_MS * 0.7,
      marginMs: LEASE_MS / 3,
      quietMs: LEASE_MS,
      competes: () => true,
    });
    host.isWriter = () => duty.isHeld();
    const reporter = new UsageReporter({
      clock,
      log: new SilentLog(),
      table,
      duty,
      ledger: host.ledger,
      hostUsage: host.hostUsage,
      origin,
      reachesHolder: () => true,
      reachesAll: () => true,
      gather: async () => this.exchange(),
      getReferenceMs: () => clock.now().getTime(),
      windowMs: WINDOW_MS,
      deadlineMs: 10_000,
      send: async (window, counts) => {
        const total = Object.values(counts).reduce((sum, n) => sum + n, 0);
        const totals = this.sent.get(window) ?? new Set<number>();
        this.sent.set(window, totals.add(total));
        return true;
      },
      mayDecide: () => host.counts.mayDecide(),
      readStored: () => host.counts.readCounts(),
    });
    void duty.run(host.stopped.signal);
    void reporter.run(host.stopped.signal);
    return host;
  }
}

describe('a fleet of which all hosts are killed', () => {
  for (let killMs = 0; killMs < WINDOW_MS; killMs += 500) {
    // Guards against windows that are reported without the counts of the killed hosts.
    it(`${killMs} ms into a window loses at most what was not stored yet`, async () => {
      const fleet = new Fleet();
      fleet.start();
      await fleet.run(3 * WINDOW_MS + killMs);
      fleet.kill();
      await fleet.clock.advance(RESTART_MS);
      fleet.start();
      await fleet.run(4 * WINDOW_MS);
      const lossMs: number[] = [];
      for (let window = 200; window < 206; window++) {
        const totals = [...(fleet.sent.get(window) ?? [])];
        expect(totals).to.have.length(1);
        const lost = (fleet.truth.get(window) ?? 0) - (totals[0] ?? 0);
        lossMs.push((lost * STEP_MS) / HOSTS.length);
      }
      const sum = lossMs.reduce((total, ms) => total + ms, 0);
      expect(Math.min(...lossMs)).to.equal(0);
      expect(sum).to.be.at.most(INTERVAL_MS + HEARTBEAT_MS);
      // A window that ended a second before the kill is whole.
      expect(lossMs[killMs >= 1000 ? 2 : 1]).to.equal(0);
    });
  }
});
