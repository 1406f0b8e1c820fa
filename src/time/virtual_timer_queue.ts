/** A pending wait or timer of the virtual clock. */
export interface VirtualTimer {
  readonly dueMs: number;
  /** Order in which timers were added; breaks ties between equal due times. */
  readonly order: number;
  readonly fire: () => void;
  /** True once the wait was ended early or the timer was cancelled. */
  cancelled: boolean;
}

/** Priority queue of timers by due time (binary heap). */
export class VirtualTimerQueue {
  private readonly heap: VirtualTimer[] = [];

  add(timer: VirtualTimer): void {
    this.heap.push(timer);
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
   * Removes and returns the first timer that is due and not cancelled.
   * @param endMs - Latest due time, in milliseconds.
   * @returns The timer, or `undefined` if none is due by then.
   */
  takeNext(endMs: number): VirtualTimer | undefined {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.dueMs > endMs) {
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
    return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
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
