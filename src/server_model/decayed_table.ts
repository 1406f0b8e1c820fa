import {Clock} from '../time/index.js';
import {SumTable} from './model_sums.js';

/** Sums with the time up to which they have decayed. */
interface Entry {
  values: readonly number[];
  atMs: number;
}

/** Sums by key that decay with time; the first sum of a key is its weight. */
export class DecayedTable {
  private readonly entries = new Map<string, Entry>();

  /**
   * @param clock - Clock.
   * @param halfLifeMs - Time in which a sum decays to half, in milliseconds.
   * @param minWeight - Weight below which a key is dropped.
   * @param maxKeys - Number of keys beyond which the least recently updated is dropped.
   */
  constructor(
    private readonly clock: Clock,
    private readonly halfLifeMs: number,
    private readonly minWeight: number,
    private readonly maxKeys: number,
  ) {}

  /** Adds an observation. */
  add(key: string, values: readonly number[]): void {
    const before = this.get(key);
    this.entries.delete(key);
    this.entries.set(key, {
      values: values.map((value, index) => value + (before?.[index] ?? 0)),
      atMs: this.clock.monotonicMs(),
    });
    const [oldest] = this.entries.keys();
    if (this.entries.size > this.maxKeys && oldest !== undefined) {
      this.entries.delete(oldest);
    }
  }

  /** Returns the sums of a key as of now. */
  get(key: string): readonly number[] | undefined {
    const entry = this.entries.get(key);
    if (entry === undefined) {
      return undefined;
    }
    const ageMs = this.clock.monotonicMs() - entry.atMs;
    const factor = 0.5 ** (ageMs / this.halfLifeMs);
    return entry.values.map(value => value * factor);
  }

  /** Returns the sums of all keys as of now, and drops those of little weight. */
  list(): SumTable {
    const listed = new Map<string, readonly number[]>();
    for (const key of this.entries.keys()) {
      const values = this.get(key) ?? [];
      if ((values[0] ?? 0) < this.minWeight) {
        this.entries.delete(key);
      } else {
        listed.set(key, values);
      }
    }
    return listed;
  }
}
