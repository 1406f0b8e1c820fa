import {Clock} from '../time/index.js';

/** Who sends, and where to: what bounds what ever-new requests of one sender cost. */
export interface Sender {
  /** The customer; empty where a route needs no key. */
  readonly caller: string;
  readonly route: string;
}

/** What became of runs. */
interface RunCounts {
  answered: number;
  /** Runs whose server ended, with nothing that explains it. */
  lost: number;
}

/** Runs of one sender. */
interface SenderCounts {
  running: number;
  /** Of the present span. */
  now: RunCounts;
  /** Of the span before. */
  before: RunCounts;
}

/** Length of a span, in milliseconds; the last one or two count. */
const SPAN_MS = 5000;
/** Share of a sender's runs that has to be lost for it to be the cause. */
const LOST_SHARE = 0.5;
/** How many times the share of all others that has to be. */
const TIMES_OTHERS = 2;

/**
 * What became of each sender's runs at this host: servers that end under one sender's
 * requests, and hardly under those of others, end because of it.
 */
export class SenderRuns {
  private readonly senders = new Map<string, SenderCounts>();
  private spanStartMs: number;

  constructor(private readonly clock: Clock) {
    this.spanStartMs = clock.monotonicMs();
  }

  /** Notes that a run begins. */
  begin(sender: Sender): void {
    this.turn();
    this.get(sender).running++;
  }

  /** Notes that a run is over, whatever came of it. */
  end(sender: Sender): void {
    this.get(sender).running--;
  }

  /** Notes that a server answered a run. */
  addAnswer(sender: Sender): void {
    this.turn();
    this.get(sender).now.answered++;
  }

  /** Notes that a run's server ended. */
  addLoss(sender: Sender): void {
    this.turn();
    this.get(sender).now.lost++;
  }

  /** Tells whether any run of a sender is under way at this host. */
  isRunning(sender: Sender): boolean {
    return (this.senders.get(toKey(sender))?.running ?? 0) > 0;
  }

  /** Tells whether far more of a sender's runs are lost than of all others'. */
  standsOut(sender: Sender): boolean {
    const own = this.get(sender);
    const others: SenderCounts = createCounts();
    for (const counts of this.senders.values()) {
      if (counts !== own) {
        addCounts(others, counts);
      }
    }
    const share = getLostShare(own);
    return share >= LOST_SHARE && share > TIMES_OTHERS * getLostShare(others);
  }

  private get(sender: Sender): SenderCounts {
    const key = toKey(sender);
    const known = this.senders.get(key);
    if (known !== undefined) {
      return known;
    }
    const counts = createCounts();
    this.senders.set(key, counts);
    return counts;
  }

  /** Forgets what is two spans old, and senders that have nothing since. */
  private turn(): void {
    const ageMs = this.clock.monotonicMs() - this.spanStartMs;
    if (ageMs < SPAN_MS) {
      return;
    }
    this.spanStartMs += ageMs;
    for (const [key, counts] of this.senders) {
      counts.before = ageMs < 2 * SPAN_MS ? counts.now : createRunCounts();
      counts.now = createRunCounts();
      const {answered, lost} = counts.before;
      if (counts.running === 0 && answered + lost === 0) {
        this.senders.delete(key);
      }
    }
  }
}

function toKey({caller, route}: Sender): string {
  return `${caller}\n${route}`;
}

function createRunCounts(): RunCounts {
  return {answered: 0, lost: 0};
}

function createCounts(): SenderCounts {
  return {running: 0, now: createRunCounts(), before: createRunCounts()};
}

function addCounts(sum: SenderCounts, {running, now, before}: SenderCounts) {
  sum.running += running;
  sum.now.answered += now.answered + before.answered;
  sum.now.lost += now.lost + before.lost;
}

function getLostShare({running, now, before}: SenderCounts): number {
  const lost = now.lost + before.lost;
  const all = lost + now.answered + before.answered + running;
  return all === 0 ? 0 : lost / all;
}
