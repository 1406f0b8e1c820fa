import {expect} from 'chai';
import {Result} from 'true-myth';
import {ServerBackoffs, StatedBackoff} from '../../src/backoff/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVER = 'i-1';
/** Largest share by which a backoff is prolonged at random. */
const JITTER = 0.1;

describe('ServerBackoffs', () => {
  let clock: VirtualClock;
  let backoffs: ServerBackoffs;
  let metrics: Metrics;

  beforeEach(() => {
    clock = new VirtualClock();
    metrics = new Metrics();
    backoffs = create(1);
  });

  function create(seed: number): ServerBackoffs {
    const random = new SeededRandom(seed);
    return new ServerBackoffs({clock, log: new SilentLog(), metrics, random});
  }

  /** Lets a request that is sent now be answered at once. */
  function answer(stated?: StatedBackoff, sentMs = clock.monotonicMs()): void {
    backoffs.endAttempt(SERVER, {isAnswered: true, stated, sentMs});
  }

  function ask(ms: number): void {
    answer(Result.ok(ms));
  }

  function isBlocked(): boolean {
    return backoffs.listBlocked().includes(SERVER);
  }

  it('is active for as long as the server asked for, and a little longer', async () => {
    ask(3000);
    expect(backoffs.getRemainingMs(SERVER)).to.be.within(
      3000,
      3000 * (1 + JITTER),
    );
    await clock.advance(2999);
    expect([backoffs.isActive(SERVER), isBlocked()]).to.deep.equal([
      true,
      true,
    ]);
    await clock.advance(3000 * JITTER + 1);
    expect([backoffs.isActive(SERVER), isBlocked()]).to.deep.equal([
      false,
      false,
    ]);
  });

  it('ends at different times at different hosts', () => {
    const remainingMs = new Set<number>();
    for (let seed = 1; seed <= 8; seed++) {
      backoffs = create(seed);
      ask(3000);
      remainingMs.add(backoffs.getRemainingMs(SERVER));
    }
    expect(remainingMs.size).to.equal(8);
  });

  it('is not shortened by a later request for less, nor by an answer to an earlier request', async () => {
    ask(3000);
    await clock.advance(100);
    ask(500);
    answer(undefined, 0);
    expect(backoffs.getRemainingMs(SERVER)).to.be.at.least(2900);
  });

  it('is prolonged by a later request for more', async () => {
    ask(500);
    ask(3000);
    expect(backoffs.getRemainingMs(SERVER)).to.be.at.least(3000);
  });

  it('does not begin if the server asks for no time', () => {
    ask(0);
    expect(isBlocked()).to.equal(false);
  });

  it('lasts an hour at most', () => {
    ask(1e12);
    expect(backoffs.getRemainingMs(SERVER)).to.be.within(
      3_600_000,
      3_600_000 * (1 + JITTER),
    );
  });

  it('does not begin if the time cannot be used, which is counted', () => {
    for (let count = 0; count < 3; count++) {
      answer(Result.err('"soon" is no number'));
    }
    expect(isBlocked()).to.equal(false);
    expect(metrics.getCount('backoffs', {usable: 'false'})).to.equal(3);
  });

  it('of one server does not concern another', () => {
    ask(3000);
    expect(backoffs.isActive('i-2')).to.equal(false);
    expect(backoffs.listBlocked()).to.deep.equal([SERVER]);
  });

  it('is kept for a bounded number of servers', () => {
    for (let index = 0; index < 5000; index++) {
      backoffs.endAttempt(`i-${index}`, {
        isAnswered: true,
        stated: Result.ok(3000),
        sentMs: 0,
      });
    }
    expect(backoffs.listBlocked().length).to.equal(4096);
    expect(backoffs.isActive('i-4999')).to.equal(true);
  });

  describe('after the end of a backoff', () => {
    beforeEach(async () => {
      ask(1000);
      await clock.advance(1000 * (1 + JITTER) + 1);
    });

    // Guards against all requests that have waited reaching the server at once.
    it('one request is sent until the server has answered it', () => {
      const sentMs = clock.monotonicMs();
      backoffs.beginAttempt(SERVER);
      expect(isBlocked()).to.equal(true);
      expect(backoffs.isActive(SERVER)).to.equal(false);
      answer(undefined, sentMs);
      expect(isBlocked()).to.equal(false);
      backoffs.beginAttempt(SERVER);
      expect(isBlocked()).to.equal(false);
    });

    it('another backoff begins if the server asks for one', async () => {
      backoffs.beginAttempt(SERVER);
      ask(2000);
      expect(backoffs.getRemainingMs(SERVER)).to.be.at.least(2000);
    });

    it('another request is sent at once if the first was not answered', () => {
      const sentMs = clock.monotonicMs();
      backoffs.beginAttempt(SERVER);
      backoffs.endAttempt(SERVER, {isAnswered: false, sentMs});
      expect(isBlocked()).to.equal(false);
      backoffs.beginAttempt(SERVER);
      expect(isBlocked()).to.equal(true);
    });

    it('another request is sent each second while the first is not answered', async () => {
      backoffs.beginAttempt(SERVER);
      await clock.advance(1001);
      expect(isBlocked()).to.equal(false);
      backoffs.beginAttempt(SERVER);
      expect(isBlocked()).to.equal(true);
    });

    // Guards against a server that gets nothing for a second though it has answered.
    it('all requests are sent once the server asks for no further time', () => {
      backoffs.beginAttempt(SERVER);
      ask(0);
      expect(isBlocked()).to.equal(false);
    });

    it('an answer to a request from before it does not count', () => {
      backoffs.beginAttempt(SERVER);
      answer(undefined, 0);
      expect(isBlocked()).to.equal(true);
    });
  });

  it('lets one copied run through, which can continue nowhere else', () => {
    expect(backoffs.takeCopiedRun(SERVER)).to.equal(true);
    ask(3000);
    expect(backoffs.takeCopiedRun(SERVER)).to.equal(true);
    expect(backoffs.takeCopiedRun(SERVER)).to.equal(false);
  });
});
