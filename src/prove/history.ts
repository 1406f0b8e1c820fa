/** Final outcome of a request, as reported to its caller. */
export type CallerOutcome =
  | 'answered'
  | 'accepted'
  | 'did-not-run'
  | 'unknown'
  /** The receiving host died: the caller received no response. */
  | 'nothing';

/** One event of a history; `atMs` is on the single virtual clock of the run. */
export type HistoryEvent =
  | {
      readonly kind: 'asked';
      readonly atMs: number;
      readonly instance: string;
      readonly key: string;
      readonly payload: string;
    }
  | {
      readonly kind: 'told';
      readonly atMs: number;
      readonly instance: string;
      readonly key: string;
      readonly outcome: CallerOutcome;
      /** Payload that the answer contains. */
      readonly payload?: string;
    }
  | {
      readonly kind: 'ran';
      readonly atMs: number;
      readonly instance: string;
      readonly key: string;
      readonly payload: string;
    };

/** Everything that callers and back ends observed in one run, in order. */
export interface History {
  readonly events: readonly HistoryEvent[];
  /** Number of injected faults. */
  readonly faults: number;
  /** Whether a host was killed without notice or before its shutdown was complete. */
  readonly crashed: boolean;
}

/** Records the history of a run. */
export class Recorder {
  private readonly events: HistoryEvent[] = [];
  private faults = 0;
  private crashed = false;

  add(event: HistoryEvent): void {
    this.events.push(event);
  }

  /** Counts an injected fault. */
  addFault(): void {
    this.faults++;
  }

  /** Records that a host was killed without notice or before its shutdown was complete. */
  addCrash(): void {
    this.crashed = true;
  }

  /** Returns the history so far. */
  getHistory(): History {
    return {
      events: this.events,
      faults: this.faults,
      crashed: this.crashed,
    };
  }
}
