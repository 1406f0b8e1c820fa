/** First time for which a refused kind of host is not asked for, in ms. */
const FIRST_BACKOFF_MS = 15_000;
const MAX_BACKOFF_MS = 600_000;

/** Refusals of one kind of host. */
interface Refusals {
  readonly inRow: number;
  readonly untilMs: number;
}

/** Backs off by zone and class after refused starts, not altogether. */
export class StartBackoff {
  private readonly refusals = new Map<string, Refusals>();

  /** Returns until when a kind is not asked for; monotonic ms. */
  getRefusedUntilMs(zone: string, machineClass: string): number {
    return this.refusals.get(`${zone}/${machineClass}`)?.untilMs ?? 0;
  }

  /** Counts a refused start. */
  addRefusal(zone: string, machineClass: string, nowMs: number): void {
    const key = `${zone}/${machineClass}`;
    const inRow = (this.refusals.get(key)?.inRow ?? 0) + 1;
    const spanMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** (inRow - 1),
    );
    this.refusals.set(key, {inRow, untilMs: nowMs + spanMs});
  }

  /** Counts a start that was granted. */
  addStart(zone: string, machineClass: string): void {
    this.refusals.delete(`${zone}/${machineClass}`);
  }
}
