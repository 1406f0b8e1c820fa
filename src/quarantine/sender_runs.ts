import {Clock} from '../time/index.js';

/** A customer on one route: limits the damage if each of its requests is different. */
export interface Sender {
  /** The customer; empty if the route needs no key. */
  readonly caller: string;
  readonly route: string;
}

/** Outcomes of runs. */
interface RunCounts {
  answered: number;
  /** Runs whose server terminated without being known to leave. */
  lost: number;
}

/** Runs of one sender. */
interface SenderCounts {
  running: number;
  /** Outcomes in the current window. */
  now: RunCounts;
  /** Outcomes in the previous window. */
  before: RunCounts;
}

/** Length of a window, in milliseconds; the current and the previous one count. */
const WINDOW_MS = 5000;
/** Minimum fraction of a sender's runs that are lost if it is the cause. */
const MIN_LOST_SHARE = 0.5;
/** That fraction must exceed this multiple of the fraction for all other senders. */
const LOST_SHARE_FACTOR = 2;

/**
 * Counts the outcomes of each sender's runs at this host. If servers terminate under one
 * sender's requests, and hardly under those of others, that sender is the cause.
 */
export class SenderRuns {
  private readonly senders = new Map<string, SenderCounts>();
  private windowStartMs: number;

  constructor(private readonly clock: Clock) {
    this.windowStartMs = clock.monotonicMs();
  }

  /** Records that a run begins. */
  begin(sender: Sender): void {
    this.rotateWindows();
    this.getCounts(sender).running++;
  }

  /** Records that a run is over, whatever its outcome. */
  end(sender: Sender): void {
    this.getCounts(sender).running--;
  }

  /** Records that a server answered a run. */
  addAnswer(sender: Sender): void {
    this.rotateWindows();
    this.getCounts(sender).now.answered++;
  }

  /** Records that the server of a run terminated. */
  addLoss(sender: Sender): void {
    this.rotateWindows();
    this.getCounts(sender).now.lost++;
  }

  /** Returns whether any run of a sender is in progress at this host. */
  isRunning(sender: Sender): boolean {
    return (this.senders.get(toKey(sender))?.running ?? 0) > 0;
  }

  /** Returns whether a sender loses far more of its runs than all others. */
  hasExcessLosses(sender: Sender): boolean {
    const own = this.getCounts(sender);
    const others: SenderCounts = createCounts();
    for (const counts of this.senders.values()) {
      if (counts !== own) {
        addCounts(others, counts);
      }
    }
    const share = getLostShare(own);
    return (
      share >= MIN_LOST_SHARE &&
      share > LOST_SHARE_FACTOR * getLostShare(others)
    );
  }

  private getCounts(sender: Sender): SenderCounts {
    const key = toKey(sender);
    const known = this.senders.get(key);
    if (known !== undefined) {
      return known;
    }
    const counts = createCounts();
    this.senders.set(key, counts);
    return counts;
  }

  /** Starts a new window if due; removes senders without runs in the last one. */
  private rotateWindows(): void {
    const elapsedMs = this.clock.monotonicMs() - this.windowStartMs;
    if (elapsedMs < WINDOW_MS) {
      return;
    }
    this.windowStartMs += elapsedMs;
    for (const [key, counts] of this.senders) {
      counts.before =
        elapsedMs < 2 * WINDOW_MS ? counts.now : createRunCounts();
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
