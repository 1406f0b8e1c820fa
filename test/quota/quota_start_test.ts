import {expect} from 'chai';
import {Account} from '../../src/catalog/index.js';
import {DelayedHosts} from './delayed_hosts.js';

const BOUND = {windowMs: 8000, overage: 0.1, slack: 140_000};
/** Time in which reports arrive from every host that has started. */
const KNOWN_MS = 5000;
/** Times of the kill after the load began, and ages of what is stored then. */
const KILLS = [
  {killMs: 1500, storedMs: 700},
  {killMs: 4000, storedMs: 2000},
];

function createAccount(perSecond: number): Account {
  return {
    name: 'guild',
    keys: ['k'],
    rate: {perSecond, burst: perSecond, inTokens: true, plainTokens: 200},
  };
}

function getAllowed(perSecond: number): number {
  return perSecond * 9 * (1 + BOUND.overage) + BOUND.slack;
}

// A host's share of the lower rates holds less than one request of 12,000 units, that of
// the others holds many.
for (const count of [8, 17, 61]) {
  for (const rate of [20_000, 36_000, 140_000, 335_000]) {
    for (const seed of [1, 2, 3]) {
      describe(`${count} hosts, ${rate} a second, seed ${seed}`, () => {
        const account = createAccount(rate);

        // Guards against an excess that is used both by shares and by the global bucket.
        it('a customer that begins at six times its rate stays within the bound where hosts reserve for urgent requests', async () => {
          const hosts = new DelayedHosts(count, BOUND, seed, true);
          await hosts.clock.advance(KNOWN_MS);
          await hosts.load(account, rate * 6, 16_000, rate);
          expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(rate));
        });

        // Guards against hosts that each take themselves for the only one, while the
        // others' demand is not yet known.
        it('a customer that begins at six times its rate stays within the bound', async () => {
          const hosts = new DelayedHosts(count, BOUND, seed);
          await hosts.clock.advance(KNOWN_MS);
          await hosts.load(account, rate * 6, 16_000, rate);
          expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(rate));
        });

        it('the same customer at hosts that are all new stays within the bound', async () => {
          const hosts = new DelayedHosts(count, BOUND, seed);
          await hosts.load(account, rate * 6, 16_000);
          expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(rate));
        });

        // Guards against buckets that are filled again by hosts that know no spending.
        for (const {killMs, storedMs} of KILLS) {
          it(`the same customer stays within the bound when all hosts are killed after ${killMs} ms`, async () => {
            const hosts = new DelayedHosts(count, BOUND, seed);
            await hosts.clock.advance(KNOWN_MS);
            await hosts.load(account, rate * 6, killMs);
            hosts.killAll(storedMs);
            await hosts.load(account, rate * 6, 10_000);
            expect(hosts.getMaxInWindow()).to.be.lessThan(getAllowed(rate));
          });
        }

        // A burst of lower rates holds less than three requests, and is exceeded by chance.
        if (rate < 100_000) {
          return;
        }
        it('a customer at 0.9 of its rate is hardly refused after two seconds', async () => {
          const hosts = new DelayedHosts(count, BOUND, seed);
          await hosts.load(account, rate * 0.9, 2000);
          const [refused, admitted] = [hosts.refused, hosts.admitted.length];
          await hosts.load(account, rate * 0.9, 28_000);
          const later = hosts.refused - refused;
          const all = later + hosts.admitted.length - admitted;
          expect(later / all).to.be.lessThan(0.02);
        });

        // Guards against stored spending that is counted for more than it was.
        it('a customer at 0.6 of its rate is hardly refused after all hosts were killed', async () => {
          const hosts = new DelayedHosts(count, BOUND, seed);
          await hosts.load(account, rate * 0.6, 8000);
          const [refused, admitted] = [hosts.refused, hosts.admitted.length];
          hosts.killAll(700);
          await hosts.load(account, rate * 0.6, 8000);
          const later = hosts.refused - refused;
          const all = later + hosts.admitted.length - admitted;
          expect(later / all).to.be.lessThan(0.05);
        });
      });
    }
  }
}
