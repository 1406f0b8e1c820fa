/** A waiter of the virtual clock. */
export interface Sleeper {
  readonly wakeAtMs: number;
  /** Order of going to sleep; breaks ties. */
  readonly order: number;
  readonly wake: () => void;
  /** Set when the wait was ended early. */
  cancelled: boolean;
}

/** Sleepers by the time they wake (binary heap). */
export class SleeperQueue {
  private readonly heap: Sleeper[] = [];

  /** Adds a sleeper. */
  add(sleeper: Sleeper): void {
    this.heap.push(sleeper);
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) {
        return;
      }
      this.swap(index, parent);
      index = parent;
    }
  }

  /**
   * Takes the next sleeper that wakes by a time.
   * @param endMs - Latest time, in milliseconds.
   */
  takeNext(endMs: number): Sleeper | undefined {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.wakeAtMs > endMs) {
        return undefined;
      }
      this.removeFirst();
      if (!next.cancelled) {
        return next;
      }
    }
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) {
      return;
    }
    this.heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < this.heap.length && this.isBefore(left, least)) {
        least = left;
      }
      if (right < this.heap.length && this.isBefore(right, least)) {
        least = right;
      }
      if (least === index) {
        return;
      }
      this.swap(index, least);
      index = least;
    }
  }

  private isBefore(index: number, other: number): boolean {
    const a = this.heap[index];
    const b = this.heap[other];
    if (a === undefined || b === undefined) {
      return false;
    }
    return (
      a.wakeAtMs < b.wakeAtMs ||
      (a.wakeAtMs === b.wakeAtMs && a.order < b.order)
    );
  }

  private swap(index: number, other: number): void {
    const a = this.heap[index];
    const b = this.heap[other];
    if (a !== undefined && b !== undefined) {
      this.heap[index] = b;
      this.heap[other] = a;
    }
  }
}
