import {expect} from 'chai';
import {Account} from '../../src/catalog/index.js';
import {Quota} from '../../src/quota/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';

const BOUND = {windowMs: 8000, overage: 0.1, slack: 140_000};
const RATE = 36_000;

function createAccount(perSecond: number): Account {
  return {
    name: 'guild',
    keys: ['k'],
    rate: {perSecond, burst: perSecond, inTokens: true, plainTokens: 200},
  };
}

/** Quotas of several hosts that tell each other every `toldMs`. */
class Hosts {
  readonly clock = new VirtualClock();
  readonly quotas: Quota[] = [];
  readonly passed: {atMs: number; units: number}[] = [];
  refused = 0;
  /** Whether a host hears another. */
  hears: (to: number, from: number) => boolean = () => true;

  constructor(count: number) {
    for (let index = 0; index < count; index++) {
      this.start(index, count);
    }
  }

  /** Starts a host, anew if it ran before. */
  start(index: number, count: number): void {
    this.quotas[index] = new Quota({
      clock: this.clock,
      sumPeerDemand: customer => {
        const demands = this.listTold(index).flatMap(quota =>
          quota.listDemand(),
        );
        return demands
          .filter(demand => demand.customer === customer)
          .reduce((sum, {perSecond}) => sum + perSecond, 0);
      },
      countTold: () => this.listTold(index).length,
      countHosts: () => this.counts[index] ?? count,
      countHeard: () => this.countHeard(index, count),
      getBound: () => BOUND,
    });
    this.starts[index] = (this.starts[index] ?? 0) + 1;
    this.told = new Set(
      [...this.told].filter(pair => !pair.endsWith(`>${index}`)),
    );
  }

  private listTold(index: number): Quota[] {
    return this.quotas.filter((_quota, other) =>
      this.told.has(`${other}>${index}`),
    );
  }

  private countHeard(index: number, count: number): number {
    const unheard = this.quotas.filter(
      (_quota, other) => other !== index && !this.hears(index, other),
    );
    return (this.counts[index] ?? count) - unheard.length;
  }

  /** Which host has told which since that one started. */
  private told = new Set<string>();

  private readonly starts: number[] = [];
  private readonly counts: number[] = [];

  /** Has a host know of so many. */
  setCount(index: number, count: number): void {
    this.counts[index] = count;
  }

  tell(): void {
    for (const [from, quota] of this.quotas.entries()) {
      for (const [to, other] of this.quotas.entries()) {
        if (from !== to && this.hears(to, from)) {
          const origin = `${from}/${this.starts[from]}`;
          other.addPeerSpending(origin, quota.listSpending());
          this.told.add(`${from}>${to}`);
        }
      }
    }
  }

  take(index: number, account: Account, units: number): void {
    if (this.quotas[index]?.take(account, units) === 0) {
      this.passed.push({atMs: this.clock.monotonicMs(), units});
      return;
    }
    this.refused++;
  }

  /** Returns the most units that passed in any span of the bound. */
  getMostInWindow(sinceMs = 0): number {
    let most = 0;
    for (const {atMs} of this.passed) {
      if (atMs < sinceMs) {
        continue;
      }
      let sum = 0;
      for (const other of this.passed) {
        const inWindow =
          other.atMs >= atMs && other.atMs < atMs + BOUND.windowMs;
        sum += inWindow ? other.units : 0;
      }
      most = Math.max(most, sum);
    }
    return most;
  }
}

/** Plays requests of mean 6,000 units at a rate, for 30 s. */
async function play(
  hosts: Hosts,
  account: Account,
  perSecond: number,
  seed: number,
  onStep: (step: number) => void = () => undefined,
  stepsPerWord = 4,
  skew = 2,
): Promise<void> {
  const random = new SeededRandom(seed);
  let due = 0;
  for (let step = 0; step < 300; step++) {
    onStep(step);
    due += perSecond / 10;
    while (due > 0) {
      const units = Math.ceil(12_000 * random.next());
      due -= units;
      const index = Math.floor(random.next() ** skew * hosts.quotas.length);
      hosts.take(index, account, units);
    }
    if (step % stepsPerWord === 0) {
      hosts.tell();
    }
    await hosts.clock.advance(100);
  }
}

/** Plays six requests at once every so often, for 30 s. */
async function playClumps(
  hosts: Hosts,
  account: Account,
  perSecond: number,
): Promise<void> {
  const random = new SeededRandom(5);
  const pauseMs = 200;
  const meanUnits = (perSecond * pauseMs) / 1000 / 6;
  for (let step = 0; step < 150; step++) {
    for (let request = 0; request < 6; request++) {
      const index = Math.floor(random.next() ** 2 * hosts.quotas.length);
      hosts.take(index, account, Math.ceil(2 * meanUnits * random.next()));
    }
    if (step % 2 === 0) {
      hosts.tell();
    }
    await hosts.clock.advance(pauseMs);
  }
}

function getAllowed(perSecond: number, burst = perSecond): number {
  const inWindow = (perSecond * BOUND.windowMs) / 1000 + burst;
  return inWindow * (1 + BOUND.overage) + BOUND.slack;
}

describe('Quota', () => {
  const account = createAccount(RATE);

  describe('a customer within its rate', () => {
    it('is hardly ever refused, though large requests meet one host', async () => {
      const hosts = new Hosts(8);
      await play(hosts, account, RATE * 0.6, 1);
      const share = hosts.refused / (hosts.refused + hosts.passed.length);
      expect(share).to.be.lessThan(0.03);
    });

    it('is hardly ever refused when its requests come in clumps', async () => {
      const hosts = new Hosts(8);
      await playClumps(hosts, account, RATE * 0.6);
      const share = hosts.refused / (hosts.refused + hosts.passed.length);
      expect(share).to.be.lessThan(0.01);
    });

    it('is hardly ever refused after all hosts were killed', async () => {
      const hosts = new Hosts(8);
      await play(hosts, account, RATE * 0.55, 1, step => {
        for (let index = 0; step === 150 && index < 8; index++) {
          hosts.start(index, 8);
        }
      });
      const share = hosts.refused / (hosts.refused + hosts.passed.length);
      expect(share).to.be.lessThan(0.03);
    });
  });

  describe('of hundreds of hosts that hear each other a second late', () => {
    const LATE_STEPS = 10;
    const rate = RATE * 3;

    it('a customer within its rate is hardly ever refused', async () => {
      const hosts = new Hosts(195);
      const calm = createAccount(rate);
      await play(hosts, calm, rate * 0.6, 1, () => undefined, LATE_STEPS);
      const share = hosts.refused / (hosts.refused + hosts.passed.length);
      expect(share).to.be.lessThan(0.01);
    });

    it('a customer is hardly ever refused while a few hosts restart', async () => {
      const hosts = new Hosts(195);
      hosts.hears = (_to, from) => from >= 10;
      const calm = createAccount(rate);
      await play(hosts, calm, rate * 0.6, 1, () => undefined, LATE_STEPS);
      const share = hosts.refused / (hosts.refused + hosts.passed.length);
      expect(share).to.be.lessThan(0.01);
    });

    for (const seed of [1, 2, 3]) {
      it(`a customer that comes to seven times its rate stays within the bound, seed ${seed}`, async () => {
        const hosts = new Hosts(195);
        const flooding = createAccount(rate);
        await play(hosts, flooding, rate, seed, () => undefined, LATE_STEPS);
        await play(
          hosts,
          flooding,
          rate * 7,
          seed,
          () => undefined,
          LATE_STEPS,
        );
        expect(hosts.getMostInWindow()).to.be.lessThan(getAllowed(rate));
      }).timeout(60_000);
    }
  });

  describe('a clump of requests over the rate for a moment', () => {
    it('passes while all hosts together have spent less', async () => {
      const hosts = new Hosts(23);
      const clumsy = {...account, rate: {...account.rate, burst: RATE * 4}};
      // The bucket is full after a while of little.
      await play(hosts, clumsy, RATE * 0.2, 1);
      const before = hosts.refused;
      const random = new SeededRandom(3);
      for (let step = 0; step < 30; step++) {
        const units = Math.ceil(RATE * 0.36 * random.next());
        hosts.take(Math.floor(random.next() * 23), clumsy, units);
        hosts.tell();
        await hosts.clock.advance(100);
      }
      // A host that sees the customer for the first time begins half full.
      expect(hosts.refused).to.be.at.most(before + 1);
    });
  });

  for (const seed of [1, 2, 3]) {
    describe(`a customer at seven times its rate, seed ${seed}`, () => {
      for (const rate of [RATE, RATE * 6]) {
        it(`stays within the bound at ${rate} a second`, async () => {
          const hosts = new Hosts(8);
          await play(hosts, createAccount(rate), rate * 7, seed);
          expect(hosts.getMostInWindow()).to.be.lessThan(getAllowed(rate));
        });
      }

      it('stays within the bound while hosts do not hear each other', async () => {
        const hosts = new Hosts(8);
        await play(hosts, account, RATE * 7, seed, step => {
          hosts.hears = () => step <= 100;
        });
        expect(hosts.getMostInWindow()).to.be.lessThan(getAllowed(RATE));
      });

      it('stays within the bound while half of the hosts are cut off', async () => {
        const hosts = new Hosts(8);
        await play(hosts, account, RATE * 7, seed, step => {
          const isCut = step > 100 && step < 200;
          hosts.hears = (to, from) => !isCut || to % 2 === from % 2;
        });
        expect(hosts.getMostInWindow()).to.be.lessThan(getAllowed(RATE));
      });

      it('stays within the bound when one host is killed again and again', async () => {
        const hosts = new Hosts(8);
        await play(hosts, account, RATE * 7, seed, step => {
          if (step > 100 && step % 30 === 0) {
            hosts.start(0, 8);
          }
        });
        expect(hosts.getMostInWindow()).to.be.lessThan(getAllowed(RATE));
      });

      it('stays within the bound when hosts join', async () => {
        const hosts = new Hosts(8);
        await play(hosts, account, RATE * 7, seed, step => {
          if (step === 120) {
            for (const [index] of hosts.quotas.entries()) {
              hosts.setCount(index, 11);
            }
            for (let index = 8; index < 11; index++) {
              hosts.start(index, 11);
            }
          }
        });
        expect(hosts.getMostInWindow()).to.be.lessThan(getAllowed(RATE));
      });

      it('stays within a lower limit one span after it came', async () => {
        const hosts = new Hosts(8);
        const lower = createAccount(RATE / 3);
        const clumsy = {...lower, rate: {...lower.rate, burst: RATE}};
        await play(hosts, account, RATE * 2, seed);
        const lowerMs = hosts.clock.monotonicMs();
        await play(hosts, clumsy, RATE * 2, seed);
        const after = lowerMs + BOUND.windowMs;
        const most = hosts.getMostInWindow(after);
        expect(most).to.be.lessThan(getAllowed(RATE / 3, RATE));
      });

      it('stays within the bound when all hosts are killed at once', async () => {
        const hosts = new Hosts(8);
        await play(hosts, account, RATE * 7, seed, step => {
          for (let index = 0; step === 150 && index < 8; index++) {
            hosts.start(index, 8);
          }
        });
        expect(hosts.getMostInWindow()).to.be.lessThan(getAllowed(RATE));
      });
    });
  }

  // Guards against buckets that are full twice in one span: once before all hosts are
  // killed, and in part again when they start.
  describe('a customer that begins to press, and all hosts killed at once soon after', () => {
    it('stay within the bound', async () => {
      const hosts = new Hosts(8);
      const usual = createAccount(125_230);
      const pressing = {...usual, rate: {...usual.rate, burst: 63_411}};
      await play(hosts, pressing, 125_230 * 0.8, 1);
      const kill = (step: number) => {
        for (let index = 0; step === 70 && index < 8; index++) {
          hosts.start(index, 8);
        }
      };
      await play(hosts, pressing, 125_230 * 8, 1, kill, 4, 1);
      const allowed = getAllowed(125_230, 63_411);
      expect(hosts.getMostInWindow()).to.be.lessThan(allowed);
    });
  });

  describe('small requests of a customer whose large ones are too many', () => {
    it('pass all the same', async () => {
      const hosts = new Hosts(8);
      let small = 0;
      let passed = 0;
      await play(hosts, account, RATE * 4, 1, step => {
        small++;
        const units = RATE / 200;
        passed += hosts.quotas[step % 8]?.take(account, units) === 0 ? 1 : 0;
      });
      expect(passed / small).to.be.at.least(0.9);
    });
  });

  describe('a request larger than any share', () => {
    it('passes once the bucket is half full', async () => {
      const hosts = new Hosts(8);
      hosts.hears = () => false;
      hosts.take(0, account, 1);
      await hosts.clock.advance(20_000);
      hosts.take(0, account, 200_000);
      expect(hosts.refused).to.equal(0);
    });
  });
});
