/** A kind of streams that compete for places. */
export interface PlaceKind {
  readonly targetMs: number;
  /** Tokens of a prompt. */
  readonly tokens: number;
  /** Streams of all customers together, per second. */
  readonly perSecond: number;
  /** Time from the first token to the end of the answer, in milliseconds. */
  readonly holdMs: number;
}

/** One stream that a caller asks for. */
export interface PlaceCall {
  readonly kind: PlaceKind;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly customer: string;
  readonly sentMs: number;
  /** Whether the caller has returned after a refusal. */
  hasReturned: boolean;
  /** Ends the count of the stream as in flight; absent until it is admitted. */
  release?: () => void;
}

/** A stream that holds a slot. */
interface Run {
  readonly call: PlaceCall;
  /** Tokens of the prompt that are not yet computed. */
  tokens: number;
  /** Infinite until the first token. */
  endMs: number;
}

const SLOTS = 12;
const TOKENS_PER_MS = 112;

/**
 * A model server whose slots are not taken back. Waiting streams get slots by rank, and
 * prompts are computed by rank.
 */
export class PlaceServer {
  static readonly slots = SLOTS;
  private readonly queue: PlaceCall[] = [];
  private running: Run[] = [];

  /** Adds a stream to the queue. */
  add(call: PlaceCall): void {
    this.queue.push(call);
    this.queue.sort((a, b) => a.rank - b.rank);
  }

  /** Predicts the wait of a stream as hosts do: for a slot, and for prompts ahead. */
  getWaitMs(kind: PlaceKind, rank: number): number {
    const ahead = this.queue.length + this.running.length + 1 - SLOTS;
    let tokens = 0;
    for (const call of this.queue) {
      tokens += call.rank <= rank ? call.kind.tokens : 0;
    }
    for (const run of this.running) {
      tokens += run.call.rank <= rank ? run.tokens : 0;
    }
    return (Math.max(0, ahead) * kind.holdMs) / SLOTS + tokens / TOKENS_PER_MS;
  }

  /**
   * Runs the server for a step.
   * @returns The streams whose first token was computed.
   */
  advance(nowMs: number, stepMs: number): PlaceCall[] {
    this.endRuns(nowMs);
    this.fillSlots();
    const started: PlaceCall[] = [];
    let budget = TOKENS_PER_MS * stepMs;
    const byRank = this.running.toSorted((a, b) => a.call.rank - b.call.rank);
    for (const run of byRank) {
      const computed = Math.min(budget, run.tokens);
      budget -= computed;
      run.tokens -= computed;
      if (run.tokens === 0 && run.endMs === Number.POSITIVE_INFINITY) {
        run.endMs = nowMs + run.call.kind.holdMs;
        started.push(run.call);
      }
    }
    return started;
  }

  private endRuns(nowMs: number): void {
    for (const {call, endMs} of this.running) {
      if (endMs <= nowMs) {
        call.release?.();
      }
    }
    this.running = this.running.filter(({endMs}) => endMs > nowMs);
  }

  private fillSlots(): void {
    while (this.running.length < SLOTS) {
      const call = this.queue.shift();
      if (call === undefined) {
        return;
      }
      const endMs = Number.POSITIVE_INFINITY;
      this.running.push({call, tokens: call.kind.tokens, endMs});
    }
  }
}
