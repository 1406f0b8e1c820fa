import {
  decideByWait,
  decidePlace,
  getPlaceShare,
  PlaceCounter,
} from '../admission/index.js';
import {Problem} from '../errors/index.js';
import {SeededRandom} from '../random/index.js';
import {PlaceCall, PlaceKind, PlaceServer} from './place_server.js';

/**
 * Chats, summaries and tags as in deployment N of docs/design/hard-load.md, at eight servers
 * with few slots, so that bursts use up the places: at the usual rates, 85% are in use.
 */
const KINDS: readonly PlaceKind[] = [
  {targetMs: 519, tokens: 12_000, perSecond: 32, holdMs: 900},
  {targetMs: 807, tokens: 830, perSecond: 80, holdMs: 300},
  {targetMs: 2010, tokens: 2400, perSecond: 80, holdMs: 350},
];
const CUSTOMERS = ['a', 'b', 'c', 'd', 'e', 'f'] as const;
const SERVERS = 8;
/** Delay of each answer that no host can predict, in milliseconds. */
const FIXED_MS = 47;
/** Deadline of a caller, in targets of its route. */
const DEADLINE_TARGETS = 4;
const DURATION_MS = 20_000;
const STEP_MS = 5;
const MS_PER_SECOND = 1000;

/** Returns a factor of the usual rate of a customer's calls of a rank at a time. */
export type PlaceRate = (
  rank: number,
  customer: string,
  atMs: number,
) => number;

/** The usual rate at all times. */
export const usualRate: PlaceRate = () => 1;

/** Bursts of tags at 2.2 times their rate for 6 s, then of chats at 1.8 times. */
export const bursts: PlaceRate = (rank, _customer, atMs) => {
  const isTagBurst = rank === 2 && atMs >= 2000 && atMs < 8000;
  const isChatBurst = rank === 0 && atMs >= 8000 && atMs < 14_000;
  return isTagBurst ? 2.2 : isChatBurst ? 1.8 : 1;
};

/** The first customer sends at six times its rate for 10 s. */
export const flood: PlaceRate = (_rank, customer, atMs) =>
  customer === CUSTOMERS[0] && atMs >= 4000 && atMs < 14_000 ? 6 : 1;

/** Callers, who return once after a refusal, and servers on a virtual clock. */
export class PlaceLoad {
  private readonly random: SeededRandom;
  private readonly counter = new PlaceCounter(() => []);
  private readonly servers = Array.from(
    {length: SERVERS},
    () => new PlaceServer(),
  );
  private readonly calls: PlaceCall[] = [];
  private readonly refused = new Set<PlaceCall>();
  private readonly inTime = new Set<PlaceCall>();
  private returns: {readonly call: PlaceCall; readonly atMs: number}[] = [];

  /**
   * @param seed - Seed of the arrivals.
   * @param sharesPlaces - Whether places are shared; otherwise the wait alone decides.
   */
  constructor(
    seed: number,
    private readonly sharesPlaces: boolean,
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Runs the load. */
  run(rate: PlaceRate): void {
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
      this.sendReturned(nowMs);
      this.sendNew(nowMs, rate);
      for (const server of this.servers) {
        for (const call of server.advance(nowMs, STEP_MS)) {
          this.addFirstToken(call, nowMs);
        }
      }
    }
  }

  /** Returns the part of the calls of a rank that were refused for good. */
  getRefused(rank: number): number {
    return getPart(this.listCalls(rank), this.refused);
  }

  /** Returns the part of the calls of a rank that got their first token in time. */
  getInTime(rank: number): number {
    return getPart(this.listCalls(rank), this.inTime);
  }

  /** Returns the same without the first customer; of all ranks if none is given. */
  getOthersInTime(rank?: number): number {
    const others = this.listCalls(rank).filter(
      ({customer}) => customer !== CUSTOMERS[0],
    );
    return getPart(others, this.inTime);
  }

  private listCalls(rank?: number): PlaceCall[] {
    return this.calls.filter(call => rank === undefined || call.rank === rank);
  }

  private sendReturned(nowMs: number): void {
    const due = this.returns.filter(({atMs}) => atMs <= nowMs);
    this.returns = this.returns.filter(({atMs}) => atMs > nowMs);
    for (const {call} of due) {
      this.send(call, nowMs);
    }
  }

  private sendNew(nowMs: number, rate: PlaceRate): void {
    for (const [rank, kind] of KINDS.entries()) {
      for (const customer of CUSTOMERS) {
        const perSecond =
          (kind.perSecond * rate(rank, customer, nowMs)) / CUSTOMERS.length;
        if (this.random.next() < (perSecond * STEP_MS) / MS_PER_SECOND) {
          const call: PlaceCall = {
            kind,
            rank,
            customer,
            sentMs: nowMs,
            hasReturned: false,
          };
          this.calls.push(call);
          this.send(call, nowMs);
        }
      }
    }
  }

  private send(call: PlaceCall, nowMs: number): void {
    const {kind, rank} = call;
    const waits = this.servers.map(server => server.getWaitMs(kind, rank));
    const waitMs = Math.min(...waits);
    const problem = this.decide(call, waitMs, nowMs);
    if (problem !== undefined) {
      this.handleRefusal(call, problem, nowMs);
      return;
    }
    call.release = this.counter.add('engine', call.customer);
    this.servers[waits.indexOf(waitMs)]?.add(call);
  }

  private decide(
    {kind, rank, customer, sentMs}: PlaceCall,
    waitMs: number,
    nowMs: number,
  ): Problem | undefined {
    const {targetMs} = kind;
    if (!this.sharesPlaces) {
      return decideByWait(waitMs, targetMs, this.random);
    }
    const usage = this.counter.listAll('engine');
    const own = usage.find(entry => entry.customer === customer);
    const context = {
      service: 'engine',
      customer,
      waitMs,
      targetMs,
      shortestTargetMs: Math.min(...KINDS.map(other => other.targetMs)),
      remainingMs: targetMs * DEADLINE_TARGETS - (nowMs - sentMs),
      rank,
      ranks: KINDS.length,
      inUse: usage.reduce((sum, {inFlight}) => sum + inFlight, 0),
      places: SERVERS * PlaceServer.slots,
      inFlight: (own?.inFlight ?? 0) + 1,
      share: getPlaceShare(customer, new Map(), usage),
    };
    return decidePlace(context, this.random).problem;
  }

  private handleRefusal(
    call: PlaceCall,
    {retryAfterSeconds = 0}: Problem,
    nowMs: number,
  ): void {
    if (call.hasReturned) {
      this.refused.add(call);
      return;
    }
    call.hasReturned = true;
    const atMs = nowMs + retryAfterSeconds * MS_PER_SECOND;
    this.returns.push({call, atMs});
  }

  private addFirstToken(call: PlaceCall, nowMs: number): void {
    const tookMs = nowMs + FIXED_MS - call.sentMs;
    if (tookMs <= call.kind.targetMs) {
      this.inTime.add(call);
    }
  }
}

function getPart(
  calls: readonly PlaceCall[],
  part: ReadonlySet<PlaceCall>,
): number {
  return (
    calls.filter(call => part.has(call)).length / Math.max(1, calls.length)
  );
}
