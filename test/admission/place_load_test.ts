import {expect} from 'chai';
import {
  decideByWait,
  decidePlace,
  getPlaceShare,
  PlaceCounter,
} from '../../src/admission/index.js';
import {Problem} from '../../src/errors/index.js';
import {SeededRandom} from '../../src/random/index.js';

/**
 * Kinds of deployment N at eight engines: chats, summaries and tags, here with 12 slots per
 * engine, so that the callers' bursts use up the places. At the usual rates, 85% of them
 * are in use.
 */
const KINDS = [
  {targetMs: 519, tokens: 12_000, perSecond: 32, holdMs: 900},
  {targetMs: 807, tokens: 830, perSecond: 80, holdMs: 300},
  {targetMs: 2010, tokens: 2400, perSecond: 80, holdMs: 350},
] as const;
const ENGINES = 8;
const SLOTS = 12;
const TOKENS_PER_MS = 112;
const FIXED_MS = 47;
const STEP_MS = 5;
const CUSTOMERS = ['a', 'b', 'c', 'd', 'e', 'f'] as const;
const DEADLINE_TARGETS = 4;

interface Call {
  readonly rank: number;
  readonly customer: string;
  readonly sentMs: number;
  returned: boolean;
  release?: () => void;
}
interface Result {
  readonly calls: Call[];
  readonly refused: Set<Call>;
  readonly inTime: Set<Call>;
}
type Rate = (rank: number, customer: string, atMs: number) => number;

class Engine {
  readonly queue: Call[] = [];
  private running: {call: Call; tokens: number; endMs: number}[] = [];

  getWaitMs(rank: number): number {
    const ahead = this.queue.length + this.running.length + 1 - SLOTS;
    const queued = this.queue.filter(call => call.rank <= rank);
    const prompts = this.running.reduce(
      (sum, {call, tokens}) => sum + (call.rank <= rank ? tokens : 0),
      queued.reduce((sum, call) => sum + (KINDS[call.rank]?.tokens ?? 0), 0),
    );
    const holdMs = KINDS[rank]?.holdMs ?? 0;
    return (Math.max(0, ahead) * holdMs) / SLOTS + prompts / TOKENS_PER_MS;
  }

  /** Runs the prompts of the most urgent ranks first; a slot is not taken back. */
  advance(nowMs: number, start: (call: Call) => void): void {
    for (const {call, endMs} of this.running) {
      if (endMs <= nowMs) {
        call.release?.();
      }
    }
    this.running = this.running.filter(({endMs}) => endMs > nowMs);
    this.queue.sort((a, b) => a.rank - b.rank);
    while (this.running.length < SLOTS && this.queue.length > 0) {
      const call = this.queue.shift() as Call;
      const tokens = KINDS[call.rank]?.tokens ?? 0;
      this.running.push({call, tokens, endMs: Number.POSITIVE_INFINITY});
    }
    let budget = TOKENS_PER_MS * STEP_MS;
    for (const run of this.running.toSorted(
      (a, b) => a.call.rank - b.call.rank,
    )) {
      const done = Math.min(budget, run.tokens);
      budget -= done;
      run.tokens -= done;
      if (run.tokens === 0 && run.endMs === Number.POSITIVE_INFINITY) {
        run.endMs = nowMs + (KINDS[run.call.rank]?.holdMs ?? 0);
        start(run.call);
      }
    }
  }
}

/** Runs callers who return once, for 20 s, against the decision or the limit before it. */
function simulate(rate: Rate, seed: number, isFair = true): Result {
  const random = new SeededRandom(seed);
  const engines = Array.from({length: ENGINES}, () => new Engine());
  const counter = new PlaceCounter(() => []);
  const returns: {call: Call; atMs: number}[] = [];
  const result: Result = {calls: [], refused: new Set(), inTime: new Set()};
  const decide = (call: Call, waitMs: number, nowMs: number) => {
    const usage = counter.listAll('s');
    const inFlight =
      1 + (usage.find(u => u.customer === call.customer)?.inFlight ?? 0);
    const share = getPlaceShare(call.customer, new Map(), usage);
    const {targetMs} = KINDS[call.rank] ?? KINDS[0];
    if (!isFair) {
      return decideByWait(waitMs, targetMs, random);
    }
    return decidePlace(
      {
        service: 's',
        customer: call.customer,
        waitMs,
        targetMs,
        shortestTargetMs: KINDS[0].targetMs,
        remainingMs: targetMs * DEADLINE_TARGETS - (nowMs - call.sentMs),
        rank: call.rank,
        ranks: KINDS.length,
        inUse: usage.reduce((sum, {inFlight}) => sum + inFlight, 0),
        places: ENGINES * SLOTS,
        inFlight,
        share,
      },
      random,
    ).problem;
  };
  const handleRefusal = (call: Call, problem: Problem, nowMs: number) => {
    if (call.returned) {
      result.refused.add(call);
      return;
    }
    call.returned = true;
    const atMs = nowMs + (problem.retryAfterSeconds ?? 0) * 1000;
    returns.push({call, atMs});
  };
  const send = (call: Call, nowMs: number) => {
    const waits = engines.map(engine => engine.getWaitMs(call.rank));
    const waitMs = Math.min(...waits);
    const problem = decide(call, waitMs, nowMs);
    if (problem !== undefined) {
      handleRefusal(call, problem, nowMs);
      return;
    }
    call.release = counter.add('s', call.customer);
    engines[waits.indexOf(waitMs)]?.queue.push(call);
  };
  for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
    for (const {call, atMs} of returns.splice(0)) {
      if (atMs <= nowMs) {
        send(call, nowMs);
      } else {
        returns.push({call, atMs});
      }
    }
    for (const [rank, {perSecond}] of KINDS.entries()) {
      for (const customer of CUSTOMERS) {
        const perStep =
          (perSecond * STEP_MS * rate(rank, customer, nowMs)) /
          (1000 * CUSTOMERS.length);
        if (random.next() < perStep) {
          const call = {rank, customer, sentMs: nowMs, returned: false};
          result.calls.push(call);
          send(call, nowMs);
        }
      }
    }
    for (const engine of engines) {
      engine.advance(nowMs, call => {
        const tookMs = nowMs + FIXED_MS - call.sentMs;
        if (tookMs <= (KINDS[call.rank]?.targetMs ?? 0)) {
          result.inTime.add(call);
        }
      });
    }
  }
  return result;
}

function getShare(calls: readonly Call[], part: ReadonlySet<Call>): number {
  return calls.filter(call => part.has(call)).length / calls.length;
}

function splitByRank(calls: readonly Call[]): [Call[], Call[], Call[]] {
  const ofRank = (rank: number) => calls.filter(call => call.rank === rank);
  return [ofRank(0), ofRank(1), ofRank(2)];
}

/** Returns the parts in time of the calls of all customers but the first. */
function getOthers({calls, inTime}: Result): {chats: number; all: number} {
  const others = calls.filter(({customer}) => customer !== CUSTOMERS[0]);
  const [chats] = splitByRank(others);
  return {chats: getShare(chats, inTime), all: getShare(others, inTime)};
}

/** Tags come at 2.2 times their rate for 6 s, then chats at 1.8 times. */
const bursts: Rate = (rank, _customer, atMs) => {
  const isTagBurst = rank === 2 && atMs >= 2000 && atMs < 8000;
  const isChatBurst = rank === 0 && atMs >= 8000 && atMs < 14_000;
  return isTagBurst ? 2.2 : isChatBurst ? 1.8 : 1;
};
const steady: Rate = () => 1;
const flood: Rate = (_rank, customer, atMs) =>
  customer === 'a' && atMs >= 4000 && atMs < 14_000 ? 6 : 1;

describe('decidePlace under load', () => {
  for (const seed of [1, 2, 3]) {
    // Guards against chats that are refused because tags with a longer target wait.
    describe(`bursts of tags, then of chats, seed ${seed}`, () => {
      it('refuse tags and summaries in place of chats, and starve neither', () => {
        const {calls, refused, inTime} = simulate(bursts, seed);
        const [chats, summaries, tags] = splitByRank(calls);
        expect(getShare(chats, refused)).to.be.lessThan(0.01);
        expect(getShare(chats, inTime)).to.be.at.least(0.97);
        expect(getShare(summaries, inTime)).to.be.at.least(0.7);
        expect(getShare(tags, inTime)).to.be.at.least(0.35);
      });
    });

    // Guards against a customer that takes the places of the others.
    describe(`a customer at six times its usual rate, seed ${seed}`, () => {
      it('does not make the chats of the others late, and other kinds hardly', () => {
        const without = getOthers(simulate(steady, seed));
        const withFlood = getOthers(simulate(flood, seed));
        expect(withFlood.chats).to.be.closeTo(without.chats, 0.02);
        expect(withFlood.all).to.be.closeTo(without.all, 0.08);
      });
    });
  }

  it('is needed: by the wait alone, a third of the chats are refused', () => {
    const {calls, refused} = simulate(bursts, 1, false);
    const [chats] = splitByRank(calls);
    expect(getShare(chats, refused)).to.be.greaterThan(0.33);
    const others = getOthers(simulate(flood, 1, false));
    expect(others.chats).to.be.lessThan(0.5);
  });
});
