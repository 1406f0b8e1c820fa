import fc from 'fast-check';
import {HeldLease, Lease} from '../lease/index.js';
import {MemoryTableService} from '../table/index.js';
import {VirtualClock} from '../time/index.js';
import {FaultyTable, TableFault} from './faulty_table.js';
import {Gate, GatedClock} from './gate.js';
import {createGatedTable} from './gated_table.js';
import {Proof, RunReport} from './proof.js';

/** One step of a schedule of faults. */
export type LeaseStep =
  | {
      readonly kind: 'table';
      readonly fault: TableFault;
      readonly forMs: number;
    }
  | {readonly kind: 'freeze'; readonly host: number; readonly forMs: number}
  | {readonly kind: 'kill' | 'release'; readonly host: number}
  | {readonly kind: 'late-orders'; readonly forMs: number};

/** Steps in order; `afterMs` is the delay since the previous step. */
export type LeaseSchedule = readonly {
  readonly afterMs: number;
  readonly step: LeaseStep;
}[];

const HOST_COUNT = 3;
const LEASE_DURATION_MS = 3000;
const LEASE_MARGIN_MS = 500;
const CLAIM_INTERVAL_MS = 700;
const ORDER_INTERVAL_MS = 150;
const ORDER_DELAY_MS = 800;
const SETTLE_MS = 15_000;

/** One host that claims the lease and sends orders under it. */
interface SimulatedHost {
  readonly gate: Gate;
  readonly lease: Lease;
  readonly clock: GatedClock;
}

/**
 * Simulates three hosts that claim one lease and send orders under it. Overlaps
 * are checked when an order is sent, as for an engine that ignores the fencing
 * number; a simulated engine that checks the number rejects outdated orders.
 */
class LeaseSimulation {
  private readonly clock = new VirtualClock();
  private readonly table = new FaultyTable(
    new MemoryTableService(),
    this.clock,
  );
  private readonly hosts: SimulatedHost[] = [];
  private readonly violations: string[] = [];
  private orderCount = 0;
  private rejectedByFence = 0;
  private faults = 0;
  private highestFence = 0;
  private delaysOrders = false;

  constructor(private readonly broken: boolean) {}

  async run(schedule: LeaseSchedule): Promise<RunReport> {
    const stop = new AbortController();
    for (let index = 0; index < HOST_COUNT; index++) {
      const host = this.createHost(index);
      this.hosts.push(host);
      void this.claim(host, stop.signal);
      void this.sendOrders(host, stop.signal);
    }
    await this.clock.advance(CLAIM_INTERVAL_MS);
    for (const {afterMs, step} of schedule) {
      await this.clock.advance(afterMs);
      this.execute(step);
    }
    await this.clock.advance(SETTLE_MS);
    stop.abort();
    return {
      violations: this.violations,
      operations: this.orderCount,
      faults: this.faults,
      answered: this.orderCount - this.rejectedByFence,
      refused: this.rejectedByFence,
      unknown: 0,
    };
  }

  private execute(step: LeaseStep): void {
    this.faults++;
    if (step.kind === 'table') {
      this.table.fault = step.fault;
      void this.clock
        .sleep(step.forMs)
        .then(() => (this.table.fault = TableFault.NONE));
      return;
    }
    if (step.kind === 'late-orders') {
      this.delaysOrders = true;
      void this.clock.sleep(step.forMs).then(() => (this.delaysOrders = false));
      return;
    }
    const host = this.hosts[step.host];
    if (step.kind === 'freeze') {
      host?.gate.freeze();
      void this.clock.sleep(step.forMs).then(() => host?.gate.thaw());
    } else if (step.kind === 'kill') {
      host?.gate.kill();
    } else {
      void host?.lease.release();
    }
  }

  private createHost(index: number): SimulatedHost {
    const gate = new Gate();
    const clock = new GatedClock(this.clock, gate);
    const lease = new Lease({
      table: createGatedTable(gate, this.table),
      clock,
      role: 'placement',
      holder: `host-${index}`,
      durationMs: LEASE_DURATION_MS,
      marginMs: LEASE_MARGIN_MS,
      ...(this.broken ? {getStartMs: (_sent, answered) => answered} : {}),
    });
    return {gate, lease, clock};
  }

  private async claim(host: SimulatedHost, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await host.lease.claim();
      await host.clock.sleep(CLAIM_INTERVAL_MS, signal);
    }
  }

  private async sendOrders(
    host: SimulatedHost,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await host.clock.sleep(ORDER_INTERVAL_MS, signal);
      const held = host.lease.getHeld();
      if (held !== undefined) {
        this.sendOrder(host, held);
      }
    }
  }

  private sendOrder(host: SimulatedHost, held: HeldLease): void {
    this.orderCount++;
    for (const other of this.hosts) {
      const otherLease = other.lease.getHeld();
      if (other !== host && otherLease !== undefined) {
        this.violations.push(
          `an order under fence ${held.fence} was sent while another host held fence ${otherLease.fence}`,
        );
      }
    }
    const delayMs = this.delaysOrders ? ORDER_DELAY_MS : 0;
    void this.clock.sleep(delayMs).then(() => this.receive(held.fence));
  }

  /** Receives an order as an engine that rejects fences below the highest seen. */
  private receive(fence: number): void {
    if (fence < this.highestFence) {
      this.rejectedByFence++;
      return;
    }
    this.highestFence = fence;
  }
}

const host = fc.integer({min: 0, max: HOST_COUNT - 1});
const forMs = fc.integer({min: 300, max: 7000});
const steps: fc.Arbitrary<LeaseStep> = fc.oneof(
  fc.record({
    kind: fc.constant('table' as const),
    fault: fc.constantFrom(...Object.values(TableFault)),
    forMs,
  }) as fc.Arbitrary<LeaseStep>,
  fc.record({
    kind: fc.constant('freeze' as const),
    host,
    forMs,
  }) as fc.Arbitrary<LeaseStep>,
  fc.record({
    kind: fc.constantFrom('kill' as const, 'release' as const),
    host,
  }) as fc.Arbitrary<LeaseStep>,
  fc.record({
    kind: fc.constant('late-orders' as const),
    forMs,
  }) as fc.Arbitrary<LeaseStep>,
);

/** No host sends an order under a lease while another host holds the lease. */
export const leasesExclude: Proof<LeaseSchedule> = {
  name: 'leases-exclude',
  variant: 'counts the lease from the arrival of the answer',
  schedules: fc.array(
    fc.record({afterMs: fc.constantFrom(0, 100, 700, 3000), step: steps}),
    {minLength: 2, maxLength: 10},
  ),
  run: (schedule, broken) => new LeaseSimulation(broken).run(schedule),
};
