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

/**
 * Quotas of several hosts that report their spending and demand to each other.
 */
class SimulatedHosts {
  readonly clock = new VirtualClock();
  readonly quotas: Quota[] = [];
  readonly admitted: {atMs: number; units: number}[] = [];
  refused = 0;
  reservesForUrgent = false;
  /** Returns whether a host receives the reports of another. */
  receives: (to: number, from: number) => boolean = () => true;

  constructor(count: number) {
    for (let index = 0; index < count; index++) {
      this.start(index, count);
    }
  }

  /** Starts or restarts a host. */
  start(index: number, count: number): void {
    this.quotas[index] = new Quota({
      clock: this.clock,
      sumPeerDemand: customer => {
        const demands = this.listReporting(index).flatMap(quota =>
          quota.listDemand(),
        );
        return demands
          .filter(demand => demand.customer === customer)
          .reduce((sum, {perSecond}) => sum + perSecond, 0);
      },
      countReportingHosts: () => this.listReporting(index).length,
      countHosts: () => this.counts[index] ?? count,
      countReachableHosts: () => this.countReachable(index, count),
      getBound: () => BOUND,
      reservesForUrgent: () => this.reservesForUrgent,
    });
    this.incarnations[index] = (this.incarnations[index] ?? 0) + 1;
    this.reported = new Set(
      [...this.reported].filter(pair => !pair.endsWith(`>${index}`)),
    );
  }

  private listReporting(index: number): Quota[] {
    return this.quotas.filter((_quota, other) =>
      this.reported.has(`${other}>${index}`),
    );
  }

  private countReachable(index: number, count: number): number {
    const unreachable = this.quotas.filter(
      (_quota, other) => other !== index && !this.receives(index, other),
    );
    return (this.counts[index] ?? count) - unreachable.length;
  }

  /**
   * Pairs `from>to` of hosts of which one has reported to the other since that
   * one started.
   */
  private reported = new Set<string>();

  private readonly incarnations: number[] = [];
  private readonly counts: number[] = [];

  /** Sets the number of hosts that a host knows. */
  setKnownHostCount(index: number, count: number): void {
    this.counts[index] = count;
  }

  exchangeReports(): void {
    for (const [from, quota] of this.quotas.entries()) {
      for (const [to, other] of this.quotas.entries()) {
        if (from !== to && this.receives(to, from)) {
          const origin = `${from}/${this.incarnations[from]}`;
          other.addPeerSpending(origin, quota.listSpending());
          this.reported.add(`${from}>${to}`);
        }
      }
    }
  }

  take(index: number, account: Account, units: number): void {
    if (this.quotas[index]?.take(account, units) === 0) {
      this.admitted.push({atMs: this.clock.monotonicMs(), units});
      return;
    }
    this.refused++;
  }

  /**
   * Returns the maximum number of units admitted in any window of the bound.
   */
  getMaxInWindow(sinceMs = 0): number {
    let most = 0;
    for (const {atMs} of this.admitted) {
      if (atMs < sinceMs) {
        continue;
      }
      let sum = 0;
      for (const other of this.admitted) {
        const inWindow =
          other.atMs >= atMs && other.atMs < atMs + BOUND.windowMs;
        sum += inWindow ? other.units : 0;
      }
      most = Math.max(most, sum);
    }
    return most;
  }
}

/** Simulates requests with a mean of 6,000 units at a rate, for 30 s. */
async function simulateLoad(
  hosts: SimulatedHosts,
  account: Account,
  perSecond: number,
  seed: number,
  onStep: (step: number) => void = () => undefined,
  stepsPerReport = 4,
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
    if (step % stepsPerReport === 0) {
      hosts.exchangeReports();
    }
    await hosts.clock.advance(100);
  }
}

/** Simulates six concurrent requests every 200 ms, for 30 s. */
async function simulateBursts(
  hosts: SimulatedHosts,
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
      hosts.exchangeReports();
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
    it('is hardly ever refused, although large requests reach one host', async () => {
      const hosts = new SimulatedHosts(8);
      await simulateLoad(hosts, account, RATE * 0.6, 1);
      const share = hosts.refused / (hosts.refused + hosts.admitted.length);
      expect(share).to.be.lessThan(0.03);
    });

    it('is hardly ever refused when its requests come in bursts', async () => {
      const hosts = new SimulatedHosts(8);
      await simulateBursts(hosts, account, RATE * 0.6);
      const share = hosts.refused / (hosts.refused + hosts.admitted.length);
      expect(share).to.be.lessThan(0.01);
    });

    it('is hardly ever refused after all hosts were killed', async () => {
      const hosts = new SimulatedHosts(8);
      await simulateLoad(hosts, account, RATE * 0.55, 1, step => {
        for (let index = 0; step === 150 && index < 8; index++) {
          hosts.start(index, 8);
        }
      });
      const share = hosts.refused / (hosts.refused + hosts.admitted.length);
      expect(share).to.be.lessThan(0.03);
    });
  });

  describe('of hundreds of hosts that receive reports with a delay of a second', () => {
    const STEPS_PER_REPORT = 10;
    const rate = RATE * 3;

    it('a customer within its rate is hardly ever refused', async () => {
      const hosts = new SimulatedHosts(195);
      const withinRate = createAccount(rate);
      await simulateLoad(
        hosts,
        withinRate,
        rate * 0.6,
        1,
        () => undefined,
        STEPS_PER_REPORT,
      );
      const share = hosts.refused / (hosts.refused + hosts.admitted.length);
      expect(share).to.be.lessThan(0.01);
    });

    it('a customer is hardly ever refused while a few hosts restart', async () => {
      const hosts = new SimulatedHosts(195);
      hosts.receives = (_to, from) => from >= 10;
      const withinRate = createAccount(rate);
      await simulateLoad(
        hosts,
        withinRate,
        rate * 0.6,
        1,
        () => undefined,
        STEPS_PER_REPORT,
      );
      const share = hosts.refused / (hosts.refused + hosts.admitted.length);
      expect(share).to.be.lessThan(0.01);
    });

    for (const seed of [1, 2, 3]) {
      it(`a customer that increases to seven times its rate stays within the bound, seed ${seed}`, async () => {
        const hosts = new SimulatedHosts(195);
        const overloading = createAccount(rate);
        await simulateLoad(
          hosts,
          overloading,
          rate,
          seed,
          () => undefined,
          STEPS_PER_REPORT,
        );
        await simulateLoad(
          hosts,
          overloading,
          rate * 7,
          seed,
          () => undefined,
          STEPS_PER_REPORT,
        );
        expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(rate));
      }).timeout(60_000);
    }
  });

  describe('a short burst of requests over the rate', () => {
    it('is admitted while all hosts together have spent less', async () => {
      const hosts = new SimulatedHosts(23);
      const bursty = {...account, rate: {...account.rate, burst: RATE * 4}};
      // A period of low load fills the bucket.
      await simulateLoad(hosts, bursty, RATE * 0.2, 1);
      const before = hosts.refused;
      const random = new SeededRandom(3);
      for (let step = 0; step < 30; step++) {
        const units = Math.ceil(RATE * 0.36 * random.next());
        hosts.take(Math.floor(random.next() * 23), bursty, units);
        hosts.exchangeReports();
        await hosts.clock.advance(100);
      }
      // The bucket of a host that gets the customer's first request is half
      // full.
      expect(hosts.refused).to.be.at.most(before + 1);
    });
  });

  for (const seed of [1, 2, 3]) {
    describe(`a customer at seven times its rate, seed ${seed}`, () => {
      for (const rate of [RATE, RATE * 6]) {
        it(`stays within the bound at ${rate} a second`, async () => {
          const hosts = new SimulatedHosts(8);
          await simulateLoad(hosts, createAccount(rate), rate * 7, seed);
          expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(rate));
        });
      }

      it('stays within the bound while hosts do not receive each other’s reports', async () => {
        const hosts = new SimulatedHosts(8);
        await simulateLoad(hosts, account, RATE * 7, seed, step => {
          hosts.receives = () => step <= 100;
        });
        expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(RATE));
      });

      it('stays within the bound while the hosts are partitioned in halves', async () => {
        const hosts = new SimulatedHosts(8);
        await simulateLoad(hosts, account, RATE * 7, seed, step => {
          const isCut = step > 100 && step < 200;
          hosts.receives = (to, from) => !isCut || to % 2 === from % 2;
        });
        expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(RATE));
      });

      it('stays within the bound when one host is killed repeatedly', async () => {
        const hosts = new SimulatedHosts(8);
        await simulateLoad(hosts, account, RATE * 7, seed, step => {
          if (step > 100 && step % 30 === 0) {
            hosts.start(0, 8);
          }
        });
        expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(RATE));
      });

      it('stays within the bound when hosts join', async () => {
        const hosts = new SimulatedHosts(8);
        await simulateLoad(hosts, account, RATE * 7, seed, step => {
          if (step === 120) {
            for (const [index] of hosts.quotas.entries()) {
              hosts.setKnownHostCount(index, 11);
            }
            for (let index = 8; index < 11; index++) {
              hosts.start(index, 11);
            }
          }
        });
        expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(RATE));
      });

      it('stays within a lowered limit one window after the change', async () => {
        const hosts = new SimulatedHosts(8);
        const lower = createAccount(RATE / 3);
        const bursty = {...lower, rate: {...lower.rate, burst: RATE}};
        await simulateLoad(hosts, account, RATE * 2, seed);
        const lowerMs = hosts.clock.monotonicMs();
        await simulateLoad(hosts, bursty, RATE * 2, seed);
        const after = lowerMs + BOUND.windowMs;
        const most = hosts.getMaxInWindow(after);
        expect(most).to.be.lessThan(getAllowed(RATE / 3, RATE));
      });

      it('stays within the bound when all hosts are killed at once', async () => {
        const hosts = new SimulatedHosts(8);
        await simulateLoad(hosts, account, RATE * 7, seed, step => {
          for (let index = 0; step === 150 && index < 8; index++) {
            hosts.start(index, 8);
          }
        });
        expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(RATE));
      });
    });
  }

  // Guards against buckets that are full twice in one window: once before all
  // hosts are killed, and in part again when they start.
  describe('a customer that starts an overload shortly before all hosts are killed', () => {
    it('stays within the bound', async () => {
      const hosts = new SimulatedHosts(8);
      const base = createAccount(125_230);
      const overloading = {...base, rate: {...base.rate, burst: 63_411}};
      await simulateLoad(hosts, overloading, 125_230 * 0.8, 1);
      const kill = (step: number) => {
        for (let index = 0; step === 70 && index < 8; index++) {
          hosts.start(index, 8);
        }
      };
      await simulateLoad(hosts, overloading, 125_230 * 8, 1, kill, 4, 1);
      const allowed = getAllowed(125_230, 63_411);
      expect(hosts.getMaxInWindow()).to.be.lessThan(allowed);
    });
  });

  // Guards against an excess that is used by each host and by all together.
  describe('a sudden overload of many hosts that use the excess together', () => {
    it('stays within the bound', async () => {
      const hosts = new SimulatedHosts(61);
      hosts.reservesForUrgent = true;
      await simulateLoad(hosts, account, RATE * 0.3, 1, undefined, 4, 1);
      await simulateLoad(hosts, account, RATE * 7, 1, undefined, 10, 1);
      expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(RATE));
    }).timeout(20_000);
  });

  describe('small requests of a customer with too many large ones', () => {
    it('are still admitted', async () => {
      const hosts = new SimulatedHosts(8);
      let small = 0;
      let passed = 0;
      await simulateLoad(hosts, account, RATE * 4, 1, step => {
        small++;
        const units = RATE / 200;
        passed += hosts.quotas[step % 8]?.take(account, units) === 0 ? 1 : 0;
      });
      expect(passed / small).to.be.at.least(0.9);
    });
  });

  describe('a request larger than any share', () => {
    it('is admitted once the bucket is half full', async () => {
      const hosts = new SimulatedHosts(8);
      hosts.receives = () => false;
      hosts.take(0, account, 1);
      await hosts.clock.advance(20_000);
      hosts.take(0, account, 200_000);
      expect(hosts.refused).to.equal(0);
    });
  });
});
