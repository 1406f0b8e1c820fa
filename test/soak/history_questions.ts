import {Arrival, FaultSpan, History} from './history.js';
import {FaultKind} from './schedule.js';

/** Time in which a line may not have left its process, in milliseconds. */
const UNWRITTEN_MS = 1000;

export function groupRuns(history: History): Map<string, Arrival[]> {
  const runs = new Map<string, Arrival[]>();
  for (const arrival of history.arrivals) {
    if (arrival.ran) {
      const known = runs.get(arrival.id);
      if (known === undefined) {
        runs.set(arrival.id, [arrival]);
      } else {
        known.push(arrival);
      }
    }
  }
  return runs;
}

/** Tells whether a fault struck a host, or all, in the time of contact before. */
export function isStruck(
  history: History,
  host: string,
  atMs: number,
): boolean {
  const sinceMs = atMs - history.bounds.contactMs;
  return isStruckBy(history, host, () => true, sinceMs, atMs);
}

export function touches({target}: FaultSpan, host: string): boolean {
  return target === '' || target === host;
}

export function overlaps(
  fault: FaultSpan,
  fromMs: number,
  toMs: number,
): boolean {
  return fault.fromMs <= toMs && fault.toMs >= fromMs;
}

/**
 * Tells whether a host was killed so soon after that its last lines are lost. While it
 * stands still it writes none: one that is killed before it goes on has lost them, too.
 */
export function wasKilled(
  history: History,
  host: string,
  atMs: number,
): boolean {
  const fromMs = atMs - UNWRITTEN_MS;
  const unwrittenMs = atMs + UNWRITTEN_MS;
  const frozenMs = history.faults
    .filter(
      fault =>
        fault.kind === FaultKind.HOST_FREEZE &&
        touches(fault, host) &&
        fault.fromMs >= atMs &&
        fault.fromMs <= unwrittenMs,
    )
    .map(fault => fault.toMs);
  const toMs = Math.max(unwrittenMs, ...frozenMs);
  const isKill = (kind: string) => kind.includes('kill');
  return isStruckBy(history, host, isKill, fromMs, toMs);
}

/** Tells whether a fault of some kind struck a host, or all, in a span. */
export function isStruckBy(
  history: History,
  host: string,
  isKind: (kind: string) => boolean,
  fromMs: number,
  toMs: number,
): boolean {
  return history.faults.some(
    fault =>
      isKind(fault.kind) &&
      touches(fault, host) &&
      overlaps(fault, fromMs, toMs),
  );
}
