import {expect} from 'chai';
import {Duty, Lease} from '../../src/lease/index.js';
import {SilentLog} from '../../src/log/index.js';
import {MemoryTableService} from '../../src/table/index.js';
import {CancelTimer, Clock, VirtualClock} from '../../src/time/index.js';

const LEASE_MS = 3000;

/** Clock of a machine that was suspended: only its wall-clock time advanced. */
class SuspendedClock implements Clock {
  suspendedMs = 0;

  constructor(private readonly clock: VirtualClock) {}

  now(): Date {
    return new Date(this.clock.now().getTime() + this.suspendedMs);
  }

  monotonicMs(): number {
    return this.clock.monotonicMs();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return this.clock.sleep(ms, signal);
  }

  startTimer(ms: number, call: () => void): CancelTimer {
    return this.clock.startTimer(ms, call);
  }
}

describe('Duty', () => {
  const clock = new VirtualClock();
  let table: MemoryTableService;

  beforeEach(() => {
    table = new MemoryTableService();
  });

  /** Creates a duty for one incarnation of the process on a machine. */
  function start(machine: string, incarnation: string, own: Clock = clock) {
    const stopped = new AbortController();
    const duty = new Duty({
      lease: new Lease({
        table,
        clock: own,
        role: 'duties',
        holder: `${machine}/${incarnation}`,
        isOwnMachine: holder => holder.startsWith(`${machine}/`),
        durationMs: LEASE_MS,
        marginMs: 1000,
      }),
      clock: own,
      log: new SilentLog(),
      renewMs: 1000,
      watchMs: 1000,
      marginMs: 1000,
      quietMs: LEASE_MS,
      competes: () => true,
    });
    return {duty, stopped, run: () => void duty.run(stopped.signal)};
  }

  it('is held by one host at a time, which may act at once', async () => {
    const a = start('a', '1');
    const b = start('b', '1');
    a.run();
    await clock.advance(100);
    b.run();
    await clock.advance(10_000);
    expect(a.duty.getFence()).to.equal(1);
    expect(b.duty.getFence()).to.equal(undefined);
    a.stopped.abort();
    b.stopped.abort();
    await clock.advance(100);
  });

  it('does not let a host act after its machine was suspended for a whole lease', async () => {
    const own = new SuspendedClock(clock);
    const a = start('a', '1', own);
    a.run();
    await clock.advance(100);
    own.suspendedMs = LEASE_MS;
    expect(a.duty.getFence()).to.equal(undefined);
    a.stopped.abort();
    await clock.advance(100);
  });

  it('is taken over at once from an earlier incarnation on the same machine', async () => {
    const lease = new Lease({
      table,
      clock,
      role: 'duties',
      holder: 'a/1',
      durationMs: LEASE_MS,
      marginMs: 1000,
    });
    await lease.claim();
    const again = start('a', '2');
    again.run();
    await clock.advance(100);
    expect(again.duty.getFence()).to.equal(2);
    again.stopped.abort();
    await clock.advance(100);
  });

  it('does not let a machine that regains it act until a lease duration has passed', async () => {
    const a = start('a', '1');
    a.run();
    await clock.advance(100);
    const b = start('b', '1');
    b.run();
    a.stopped.abort();
    await clock.advance(1500);
    expect(b.duty.getFence()).to.equal(2);
    const again = start('a', '2');
    again.run();
    b.stopped.abort();
    await clock.advance(2000);
    expect(again.duty.isHeld()).to.equal(true);
    expect(again.duty.getFence()).to.equal(undefined);
    await clock.advance(LEASE_MS);
    expect(again.duty.getFence()).to.equal(3);
    again.stopped.abort();
    await clock.advance(100);
  });

  it('does not let the holder act within the margin before the lease expires', async () => {
    const a = start('a', '1');
    a.run();
    await clock.advance(100);
    a.stopped.abort();
    const lease = new Lease({
      table,
      clock,
      role: 'other',
      holder: 'a/1',
      durationMs: LEASE_MS,
      marginMs: 1000,
    });
    const duty = new Duty({
      lease,
      clock,
      log: new SilentLog(),
      renewMs: 10_000,
      watchMs: 10_000,
      marginMs: 1000,
      quietMs: LEASE_MS,
      competes: () => true,
    });
    const stopped = new AbortController();
    void duty.run(stopped.signal);
    await clock.advance(1900);
    expect(duty.getFence()).to.equal(1);
    await clock.advance(200);
    expect(duty.getFence()).to.equal(undefined);
    expect(duty.isHeld()).to.equal(true);
    stopped.abort();
    await clock.advance(100);
  });
});
