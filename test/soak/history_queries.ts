import {Arrival, FaultSpan, History, SentRequest} from './history.js';
import {FaultKind} from './schedule.js';

/** Time for which a log line may not have left its process, in milliseconds. */
const LOG_LOSS_MS = 1000;

export function groupRunsById(history: History): Map<string, Arrival[]> {
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

/** Returns whether a fault affected a host, or all, within the contact bound before a time. */
export function hadRecentFault(
  history: History,
  host: string,
  atMs: number,
): boolean {
  const sinceMs = atMs - history.bounds.contactMs;
  return hadFault(history, host, () => true, sinceMs, atMs);
}

export function affects({target}: FaultSpan, host: string): boolean {
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
 * Returns whether a host was killed so soon after a time that its last log lines are lost.
 * A frozen host writes no lines: one that is killed before it resumes loses them, too.
 */
export function mayHaveLostLogLines(
  history: History,
  host: string,
  atMs: number,
): boolean {
  const fromMs = atMs - LOG_LOSS_MS;
  const logLossEndMs = atMs + LOG_LOSS_MS;
  const freezeEndsMs = history.faults
    .filter(
      fault =>
        fault.kind === FaultKind.HOST_FREEZE &&
        affects(fault, host) &&
        fault.toMs >= atMs &&
        fault.fromMs <= logLossEndMs,
    )
    .map(fault => fault.toMs);
  const toMs = Math.max(logLossEndMs, ...freezeEndsMs);
  const isKill = (kind: string) => kind.includes('kill');
  return hadFault(history, host, isKill, fromMs, toMs);
}

/**
 * Returns whether the host marked an answer as complete. The system closes the connections
 * of a killed process, which looks like the end of an answer that ends with its connection.
 */
export function isMarkedWhole(
  history: History,
  {whole, endsWithConnection, host, sentMs, endMs}: SentRequest,
): boolean {
  const isKill = (kind: string) => kind.includes('kill');
  return (
    whole &&
    !(endsWithConnection && hadFault(history, host, isKill, sentMs, endMs))
  );
}

/** Returns whether a fault of a matching kind affected a host, or all, in a time span. */
export function hadFault(
  history: History,
  host: string,
  isKind: (kind: string) => boolean,
  fromMs: number,
  toMs: number,
): boolean {
  return history.faults.some(
    fault =>
      isKind(fault.kind) &&
      affects(fault, host) &&
      overlaps(fault, fromMs, toMs),
  );
}
