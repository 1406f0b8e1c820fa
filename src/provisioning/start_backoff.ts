/** Backoff after the first refusal of a kind of host, in milliseconds. */
const FIRST_BACKOFF_MS = 15_000;
const MAX_BACKOFF_MS = 600_000;

/** Consecutive refusals of one kind of host. */
interface Refusals {
  readonly consecutive: number;
  readonly untilMs: number;
}

/** Exponential backoff after refused starts, separate for each zone and machine class. */
export class StartBackoff {
  private readonly refusals = new Map<string, Refusals>();

  /** Returns the end of the backoff for a kind of host, in monotonic milliseconds. */
  getRefusedUntilMs(zone: string, machineClass: string): number {
    return this.refusals.get(`${zone}/${machineClass}`)?.untilMs ?? 0;
  }

  /** Records a refused start, which doubles the backoff. */
  addRefusal(zone: string, machineClass: string, nowMs: number): void {
    const key = `${zone}/${machineClass}`;
    const inRow = (this.refusals.get(key)?.consecutive ?? 0) + 1;
    const spanMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** (inRow - 1),
    );
    this.refusals.set(key, {consecutive: inRow, untilMs: nowMs + spanMs});
  }

  /** Records a granted start, which ends the backoff. */
  addStart(zone: string, machineClass: string): void {
    this.refusals.delete(`${zone}/${machineClass}`);
  }
}
