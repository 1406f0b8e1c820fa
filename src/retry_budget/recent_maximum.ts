/** A value with the time at which it was observed, monotonic milliseconds. */
interface Observation {
  readonly atMs: number;
  readonly value: number;
}

/** Maximum of a value over a time. */
export class RecentMaximum {
  /** Observations that none since has reached, oldest first. */
  private readonly observations: Observation[] = [];

  /** @param durationMs - Time for which an observation counts, in milliseconds. */
  constructor(private readonly durationMs: number) {}

  /** Adds the current value; returns the maximum. */
  add(value: number, nowMs: number): number {
    const {observations} = this;
    while ((observations.at(-1)?.value ?? Infinity) <= value) {
      observations.pop();
    }
    observations.push({atMs: nowMs, value});
    while ((observations[0]?.atMs ?? nowMs) < nowMs - this.durationMs) {
      observations.shift();
    }
    return observations[0]?.value ?? value;
  }
}
