import {expect} from 'chai';
import {SeededRandom} from '../../src/random/index.js';
import {RetryBucket, RetryRates} from '../../src/retry_budget/retry_bucket.js';

const RATES: RetryRates = {
  perRequest: 0.1,
  advancePerRequest: 0.1,
  perMs: 0.0003,
  advance: 7,
  earnedSinceMs: 0,
  advanceSinceMs: 3000,
  windowMs: 10_000,
};
/** What a window without requests allows. */
const SLACK = RATES.advance + RATES.perMs * RATES.windowMs;
const SEEDS = 50;
const EVENTS = 400;

describe('RetryBucket', () => {
  // Guards against retries beyond what was earned since some moment and the advance at it,
  // from which the limit on all hosts follows.
  it(`exceeds what was earned by no more than the advance, ${SEEDS} seeds`, () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      expect(findWorstExcess(seed), `seed ${seed}`).to.be.at.most(1e-6);
    }
  });

  it('allows what was sent in advance again one window later', () => {
    const bucket = createBucket(0);
    const first = takeAll(bucket, 20_000);
    expect(first).to.equal(RATES.advance);
    expect(takeAll(bucket, 21_000)).to.equal(0);
    expect(takeAll(bucket, 30_001)).to.equal(first);
  });

  // Guards against a process that has just started and sends as much at once as one that
  // runs on: its last life may have sent that in the same window, unknown to it.
  it('keeps a process and the next one in its place within one slack', () => {
    const killedMs = 20_000;
    const sent = takeAll(createBucket(0), killedMs);
    const next = {
      ...RATES,
      earnedSinceMs: killedMs,
      advanceSinceMs: killedMs + 3000,
    };
    const successor = createBucket(killedMs);
    let total = sent;
    for (let atMs = killedMs; atMs < killedMs + 10_000; atMs += 100) {
      const knowsHosts = atMs >= next.advanceSinceMs;
      const rates = knowsHosts ? next : {...next, perMs: 0, advance: 0};
      total += takeAll(successor, atMs, rates);
    }
    expect(total).to.be.within(SLACK - 2, SLACK);
    const unbounded = takeAll(createBucket(0), killedMs);
    expect(sent + unbounded).to.be.above(SLACK);
  });
});

function createBucket(createdMs: number): RetryBucket {
  return new RetryBucket(new SeededRandom(1), createdMs, RATES.windowMs);
}

function takeAll(bucket: RetryBucket, nowMs: number, rates = RATES): number {
  let count = 0;
  while (bucket.take(nowMs, rates)) {
    count++;
  }
  return count;
}

/** Draws requests and retries; returns the worst excess between two moments. */
function findWorstExcess(seed: number): number {
  const random = new SeededRandom(seed);
  const bucket = createBucket(0);
  const requestsMs: number[] = [];
  const retriesMs: number[] = [];
  const meanMs = 20 + 200 * random.next();
  let nowMs = RATES.advanceSinceMs;
  for (let event = 0; event < EVENTS; event++) {
    nowMs += meanMs * 2 * random.next();
    if (random.next() < 0.6) {
      requestsMs.push(nowMs);
      bucket.addRequest(nowMs, RATES);
    } else if (bucket.take(nowMs, RATES)) {
      retriesMs.push(nowMs);
    }
  }
  let worst = Number.NEGATIVE_INFINITY;
  for (const [index, untilMs] of retriesMs.entries()) {
    const momentsMs = [...requestsMs, ...retriesMs].filter(
      atMs => atMs <= untilMs && atMs >= untilMs - RATES.windowMs,
    );
    for (const fromMs of momentsMs) {
      const spent = index + 1 - retriesMs.filter(atMs => atMs < fromMs).length;
      const allowed =
        getAdvance(requestsMs, fromMs) +
        countBetween(requestsMs, fromMs, untilMs) * RATES.perRequest +
        (untilMs - fromMs) * RATES.perMs;
      worst = Math.max(worst, spent - allowed);
    }
  }
  return worst;
}

function getAdvance(requestsMs: readonly number[], atMs: number): number {
  const before = requestsMs.filter(
    requestMs => requestMs < atMs && requestMs >= atMs - RATES.windowMs,
  );
  return RATES.advance + before.length * RATES.advancePerRequest;
}

function countBetween(
  timesMs: readonly number[],
  fromMs: number,
  untilMs: number,
): number {
  return timesMs.filter(atMs => atMs >= fromMs && atMs <= untilMs).length;
}
