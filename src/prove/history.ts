/** What a caller was told in the end. */
export type Told =
  | 'answered'
  | 'accepted'
  | 'did-not-run'
  | 'unknown'
  /** The host that was asked died: nobody told the caller anything. */
  | 'nothing';

/** One event of a history, with its time on the one clock of the run. */
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
      readonly told: Told;
      /** Payload that the answer speaks of. */
      readonly payload?: string;
    }
  | {
      readonly kind: 'ran';
      readonly atMs: number;
      readonly instance: string;
      readonly key: string;
      readonly payload: string;
    };

/** Everything that callers and back ends saw in one run, in order. */
export interface History {
  readonly events: readonly HistoryEvent[];
  /** Faults that took effect. */
  readonly faults: number;
  /** Whether a host died without notice. */
  readonly crashed: boolean;
}

/** Records a history. */
export class Recorder {
  private readonly events: HistoryEvent[] = [];
  private faults = 0;
  private crashed = false;

  /** Adds an event. */
  add(event: HistoryEvent): void {
    this.events.push(event);
  }

  /** Counts a fault. */
  addFault(): void {
    this.faults++;
  }

  /** Notes that a host died without notice. */
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
