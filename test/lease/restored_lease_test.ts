import {expect} from 'chai';
import {Lease} from '../../src/lease/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {MemoryTableService, TableCopy} from '../../src/table/index.js';
import {VirtualClock} from '../../src/time/index.js';

const LEASE_MS = 3000;
const MARGIN_MS = 1000;
const CLAIM_INTERVAL_MS = 1000;
const SEEDS = 60;

/** A host that claims the lease, and its claims. */
interface Claimant {
  readonly lease: Lease;
  readonly stopped: AbortController;
}

describe('Lease, in a table that is restored from a copy', () => {
  let clock: VirtualClock;
  let table: MemoryTableService;
  let faults: string[];
  /** Holder that each fencing number was first used by. */
  let holders: Map<number, string>;
  let highestFence: number;
  let starts = 0;

  beforeEach(() => {
    clock = new VirtualClock();
    table = new MemoryTableService();
    faults = [];
    holders = new Map();
    highestFence = 0;
  });

  /** Lets a host claim the lease at regular intervals. */
  function start(name: string): Claimant {
    const stopped = new AbortController();
    const lease = new Lease({
      table: createTable(),
      clock,
      role: 'duties',
      holder: `${name}/${++starts}`,
      isOwnMachine: holder => holder.startsWith(`${name}/`),
      durationMs: LEASE_MS,
      marginMs: MARGIN_MS,
    });
    void (async () => {
      while (!stopped.signal.aborted) {
        await lease.claim();
        await clock.sleep(CLAIM_INTERVAL_MS, stopped.signal);
      }
    })();
    return {lease, stopped};
  }

  /** Creates a host's access to the table: it learns the era from answers. */
  function createTable(): MemoryTableService {
    let era: number | undefined;
    const learn = async <T>(answer: Promise<T>): Promise<T> => {
      const result = await answer;
      era = table.getEra();
      return result;
    };
    return Object.assign(Object.create(MemoryTableService.prototype), {
      getEra: () => era,
      get: (key: string) => learn(table.get(key)),
      list: (prefix: string) => learn(table.list(prefix)),
      transact: (steps: Parameters<typeof table.transact>[0]) =>
        learn(table.transact(steps)),
    }) as MemoryTableService;
  }

  /** Records the actions of the holders now, and what is wrong with them. */
  function act(claimants: ReadonlyMap<string, Claimant>): void {
    const held = [...claimants].flatMap(([name, {lease}]) => {
      const fence = lease.getHeld()?.fence;
      return fence === undefined ? [] : [{name, fence}];
    });
    if (held.length > 1) {
      faults.push(`${held.map(({name}) => name).join(' and ')} hold it`);
    }
    for (const {name, fence} of held) {
      const first = holders.get(fence) ?? name;
      holders.set(fence, first);
      if (first !== name) {
        faults.push(`${name} acts under ${fence}, as ${first} did`);
      }
      if (fence < highestFence) {
        faults.push(`${name} acts under ${fence} after ${highestFence}`);
      }
      highestFence = Math.max(highestFence, fence);
    }
  }

  async function run(
    claimants: ReadonlyMap<string, Claimant>,
    ms: number,
  ): Promise<void> {
    for (let spentMs = 0; spentMs < ms; spentMs += 100) {
      act(claimants);
      await clock.advance(100);
    }
  }

  function stopAll(claimants: ReadonlyMap<string, Claimant>): void {
    for (const {stopped} of claimants.values()) {
      stopped.abort();
    }
  }

  // Guards against a second holder: the copy says that the lease is free, or another's.
  it('stays with its holder, though the copy lacks it', async () => {
    const copy = table.takeCopy();
    const claimants = new Map([['a', start('a')]]);
    await run(claimants, 500);
    claimants.set('b', start('b'));
    await run(claimants, 4000);
    table.restore(copy);
    await run(claimants, 15_000);
    expect(faults).to.deep.equal([]);
    expect(claimants.get('a')?.lease.getHeld()).not.to.equal(undefined);
    stopAll(claimants);
  });

  // Guards against hosts that take the first answer of a table that was restored long ago
  // for a restoration, and let the duty wait at each start.
  it('is granted at once at the first start', async () => {
    table.restore(table.takeCopy());
    const claimants = new Map([['a', start('a')]]);
    await run(claimants, 100);
    expect(claimants.get('a')?.lease.getHeld()?.fence).to.equal(1_000_001);
    stopAll(claimants);
  });

  // Guards against a fencing number that is given out again after its holder's row is lost.
  it('has a higher fencing number if its holder terminates', async () => {
    const claimants = new Map([['a', start('a')]]);
    await run(claimants, 1500);
    const copy = table.takeCopy();
    claimants.get('a')?.stopped.abort();
    claimants.delete('a');
    claimants.set('b', start('b'));
    await run(claimants, 8000);
    claimants.get('b')?.stopped.abort();
    claimants.delete('b');
    claimants.set('c', start('c'));
    table.restore(copy);
    await run(claimants, 15_000);
    expect(faults).to.deep.equal([]);
    expect(claimants.get('c')?.lease.getHeld()).not.to.equal(undefined);
    stopAll(claimants);
  });

  for (let seed = 1; seed <= SEEDS; seed++) {
    it(`has one holder at a time, and rising fencing numbers, seed ${seed}`, async () => {
      const random = new SeededRandom(seed);
      const names = ['a', 'b', 'c'];
      const claimants = new Map(names.map(name => [name, start(name)]));
      let copies: TableCopy[] = [];
      let calmMs = 0;
      for (let step = 0; step < 600; step++) {
        copies = [...copies, table.takeCopy()].slice(-50);
        if (calmMs > 8000 && random.next() < 0.05) {
          const copy = copies[Math.floor(random.next() * copies.length)];
          table.restore(copy as TableCopy);
          copies = [];
          calmMs = 0;
        }
        if (random.next() < 0.05) {
          const name = names[Math.floor(random.next() * 3)] as string;
          claimants.get(name)?.stopped.abort();
          if (random.next() < 0.7) {
            await claimants.get(name)?.lease.release();
          }
          claimants.set(name, start(name));
        }
        await run(claimants, 100);
        calmMs += 100;
      }
      stopAll(claimants);
      expect(faults).to.deep.equal([]);
    });
  }
});
