import {expect} from 'chai';
import {SeededRandom} from '../../src/random/index.js';
import {HostFleet, Traffic} from './host_fleet.js';

const BOUND = {ratio: 0.2, windowMs: 10_000, slack: 56};
const SEEDS = 100;
const STEP_MS = 100;
const LENGTH_MS = 60_000;
const DISCOVERY_MS = 500;
/** Longest time until hosts know each other, in milliseconds. */
const SLOW_DISCOVERY_MS = 2900;
/** Hosts, their requests a second and the slack, which grow together. */
const FLEETS = [
  {hosts: 3, perSecond: 40, slack: 54},
  {hosts: 8, perSecond: 60, slack: 56},
  {hosts: 60, perSecond: 700, slack: 200},
  {hosts: 350, perSecond: 14_000, slack: 1000},
];

describe('SharedRetryBudget over hosts that start, stop and join', () => {
  // Guards against a process that, once killed and started, has a full part of the slack
  // although its last life has spent it.
  it('gives restarted hosts no slack that was spent before', async () => {
    const fleet = new HostFleet(BOUND, 8, new SeededRandom(1));
    for (let atMs = 0; atMs < LENGTH_MS; atMs += STEP_MS) {
      if (atMs >= 20_000 && atMs % 2000 === 0) {
        for (const host of [0, 1, 2, 3]) {
          fleet.restart(host, 300);
        }
      }
      await fleet.step(STEP_MS, {perSecond: 60, failing: 1});
    }
    expect(fleet.findWorstExcess()).to.be.at.most(0);
  });

  // Guards against the same after a calm time, when each host could spend a whole window's
  // retries at once.
  it('stays within the limit if all hosts are killed twice as failures begin', async () => {
    const fleet = new HostFleet(BOUND, 8, new SeededRandom(1));
    for (let atMs = 0; atMs < LENGTH_MS; atMs += STEP_MS) {
      const isCalm = atMs < 30_000;
      if (atMs === 31_000 || atMs === 34_000) {
        for (let host = 0; host < 8; host++) {
          fleet.restart(host, 300);
        }
      }
      await fleet.step(STEP_MS, {perSecond: 110, failing: isCalm ? 0.02 : 1});
    }
    expect(fleet.findWorstExcess()).to.be.at.most(0);
  });

  // Guards against a host that starts in a partition and divides the slack by the hosts that it
  // sees, while the store has the list of all.
  it('gives hosts that start in a partition no more than their part of the slack', async () => {
    const fleet = new HostFleet(BOUND, 8, new SeededRandom(1), DISCOVERY_MS);
    for (let atMs = 0; atMs < LENGTH_MS; atMs += STEP_MS) {
      if (atMs === 20_000) {
        fleet.partition(LENGTH_MS);
      }
      if (atMs === 25_000) {
        for (const host of [1, 3, 5]) {
          fleet.restart(host, 300);
        }
      }
      const failing = atMs < 50_000 ? 0.02 : 1;
      await fleet.step(STEP_MS, {perSecond: 60, failing});
    }
    expect(fleet.findWorstExcess()).to.be.at.most(0);
  });

  // Guards against a budget that exceeds the limit in some window, whatever happens to hosts
  // and traffic.
  it(`keeps within the limit in each window, ${SEEDS} seeds`, async () => {
    const broken: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      const excess = await runSeed(seed);
      if (excess > 0) {
        broken.push(`seed ${seed}: ${excess.toFixed(1)}`);
      }
    }
    expect(broken).to.deep.equal([]);
  });

  // Guards against the same where failures come at once, and where hosts join that the others
  // do not know yet.
  it(`keeps within the limit while streams break off together, ${SEEDS} seeds`, async () => {
    const broken: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      const excess = await runBursts(seed);
      if (excess > 0) {
        broken.push(`seed ${seed}: ${excess.toFixed(1)}`);
      }
    }
    expect(broken).to.deep.equal([]);
  });

  // Guards against shares that withhold more than the limit requires: what hosts send at once
  // and what the processes that replace them send afterwards are all that is used.
  it('lets killed hosts and their successors together use nine tenths', async () => {
    const fleet = new HostFleet(BOUND, 8, new SeededRandom(1));
    const perSecond = 110;
    for (let atMs = 0; atMs < 30_000; atMs += STEP_MS) {
      await fleet.step(STEP_MS, {perSecond, failing: 0});
    }
    fleet.breakStreams(1000);
    for (let host = 0; host < fleet.count(); host++) {
      fleet.restart(host, 0);
    }
    for (let atMs = 0; atMs < BOUND.windowMs; atMs += STEP_MS) {
      await fleet.step(STEP_MS, {perSecond, failing: 1});
    }
    const requests = (perSecond * BOUND.windowMs) / 1000;
    const allowed = BOUND.ratio * requests + BOUND.slack;
    expect(fleet.countRetries()).to.be.within(0.9 * allowed, allowed);
  });

  // Guards against retries that callers could have had and that stay unused.
  for (const {hosts, perSecond, slack} of FLEETS) {
    it(`uses nine tenths of what is allowed while every request fails, ${hosts} hosts`, async () => {
      const limit = {...BOUND, slack};
      const fleet = new HostFleet(limit, hosts, new SeededRandom(1));
      for (let atMs = 0; atMs < 30_000; atMs += STEP_MS) {
        const failing = atMs < 20_000 ? 0.01 : 1;
        await fleet.step(STEP_MS, {perSecond, failing});
      }
      const before = fleet.countRetries();
      for (let atMs = 0; atMs < limit.windowMs; atMs += STEP_MS) {
        await fleet.step(STEP_MS, {perSecond, failing: 1});
      }
      const requests = (perSecond * limit.windowMs) / 1000;
      const allowed = limit.ratio * requests + slack;
      expect(fleet.countRetries() - before).to.be.at.least(0.9 * allowed);
    });
  }

  // Guards against hosts that have hardly any retries when many streams break off at once
  // after a quiet time.
  it('lets half of what is allowed be sent at once after a quiet time', async () => {
    const fleet = new HostFleet(BOUND, 3, new SeededRandom(1));
    for (let atMs = 0; atMs < 20_000; atMs += STEP_MS) {
      await fleet.step(STEP_MS, {perSecond: 0, failing: 0});
    }
    const streams = 120;
    await fleet.step(STEP_MS, {perSecond: streams * 10, failing: 0});
    const allowed = BOUND.ratio * streams + BOUND.slack;
    expect(fleet.breakStreams(streams)).to.be.at.least(allowed / 2);
    expect(fleet.findWorstExcess()).to.be.at.most(0);
  });

  // Guards against a budget that keeps the limit by denying retries that callers could have.
  for (const hosts of [1, 8, 60]) {
    it(`uses half of what is allowed while every request fails, ${hosts} hosts`, async () => {
      const fleet = new HostFleet(BOUND, hosts, new SeededRandom(1));
      const perSecond = 60;
      for (let atMs = 0; atMs < LENGTH_MS; atMs += STEP_MS) {
        await fleet.step(STEP_MS, {perSecond, failing: 1});
      }
      const windows = LENGTH_MS / BOUND.windowMs;
      const requests = (perSecond * LENGTH_MS) / 1000;
      const allowed = BOUND.ratio * requests + BOUND.slack * windows;
      expect(fleet.countRetries()).to.be.at.least(allowed / 2);
    });
  }
});

/** Draws hosts, traffic and faults; returns the worst excess over the limit in a window. */
async function runSeed(seed: number): Promise<number> {
  const random = new SeededRandom(seed);
  const draw = (count: number) => Math.floor(random.next() * count);
  const hosts = 2 + draw(10);
  const fleet = new HostFleet(BOUND, hosts, random, DISCOVERY_MS);
  let traffic: Traffic = {perSecond: 10 + draw(120), failing: 0.02};
  for (let atMs = 0; atMs < LENGTH_MS; atMs += STEP_MS) {
    const event = random.next();
    if (event < 0.03) {
      fleet.restart(draw(fleet.count()), draw(1500));
    } else if (event < 0.033) {
      for (let host = 0; host < fleet.count(); host++) {
        fleet.restart(host, 200 + draw(500));
      }
    } else if (event < 0.036 && fleet.count() < 2 * hosts) {
      fleet.join();
    } else if (event < 0.046) {
      traffic = {...traffic, failing: [0.02, 0.4, 1][draw(3)] ?? 1};
    } else if (event < 0.056) {
      // Traffic falls and rises, and the balancer moves it to other hosts.
      traffic = {...traffic, perSecond: 5 + draw(200)};
      fleet.moveTraffic();
    } else if (event < 0.058) {
      fleet.partition(40_000);
    }
    await fleet.step(STEP_MS, traffic);
  }
  return fleet.findWorstExcess();
}

/** Draws bursts of failures, kills and joins; returns the worst excess in a window. */
async function runBursts(seed: number): Promise<number> {
  const random = new SeededRandom(seed);
  const draw = (count: number) => Math.floor(random.next() * count);
  const hosts = 2 + draw(10);
  const fleet = new HostFleet(BOUND, hosts, random, SLOW_DISCOVERY_MS);
  const perSecond = 5 + draw(150);
  let failing = 0.02;
  for (let atMs = 0; atMs < LENGTH_MS; atMs += STEP_MS) {
    const event = random.next();
    if (event < 0.02) {
      fleet.breakStreams(10 + draw(300));
    } else if (event < 0.03) {
      for (let host = 0; host < fleet.count(); host++) {
        fleet.restart(host, draw(300));
      }
    } else if (event < 0.05) {
      fleet.restart(draw(fleet.count()), draw(1500));
    } else if (event < 0.055 && fleet.count() === hosts) {
      fleet.join(1 + draw(hosts));
    } else if (event < 0.065) {
      fleet.moveTraffic();
    } else if (event < 0.08) {
      failing = [0.02, 1][draw(2)] ?? 1;
    }
    await fleet.step(STEP_MS, {perSecond, failing});
  }
  return fleet.findWorstExcess();
}
