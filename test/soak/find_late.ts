/** What came too late, or not at all. */
import {History, Sending} from './history.js';
import {isStruck, overlaps} from './history_questions.js';

const UNKNOWN_ROUTE = 404;
const OK = 200;
/** Share of requests that are served once everything is mended. */
const RECOVERED_SHARE = 0.9;
/** Times a request may reach servers after it is known to end them. */
const MORE = 3;
/** Servers that end before it is known. */
const ENDS = 3;
/** Time in which a stopped host is given up by the balancer, in milliseconds. */
const TURN_AWAY_MS = 3000;
/** Time by which one host's configuration may seem to go back, in ms. */
const ROLLBACK_SLACK_MS = 250;

export function* findStepsBack(history: History): Iterable<string> {
  for (const {added, version} of history.changes) {
    const seenMs = new Map<string, number>();
    for (const {host, start, status, sentMs, endMs} of byPath(history, added)) {
      const process = `${host}/${start}`;
      const sinceMs = seenMs.get(process);
      const isKnown = status !== 0 && status !== UNKNOWN_ROUTE;
      if (isKnown && status !== 503) {
        seenMs.set(process, Math.min(sinceMs ?? endMs, endMs));
      } else if (
        status === UNKNOWN_ROUTE &&
        sinceMs !== undefined &&
        sentMs > sinceMs + ROLLBACK_SLACK_MS &&
        !wasRemoved(history, added, sentMs)
      ) {
        yield `${process} forgot version ${version} at ${sentMs} ms`;
      }
    }
  }
}

export function* findLateChanges(history: History): Iterable<string> {
  const {applyMs} = history.bounds;
  for (const {added, removed, ackMs, version} of history.changes) {
    const isLate = ({sentMs, host}: Sending) =>
      sentMs > ackMs + applyMs && !isStruck(history, host, sentMs);
    for (const sending of byPath(history, added)) {
      const isGone = wasRemoved(history, added, sending.sentMs);
      if (isLate(sending) && sending.status === UNKNOWN_ROUTE && !isGone) {
        yield `${sending.host} lacks version ${version} at ${sending.sentMs} ms`;
      }
    }
    for (const sending of byPath(history, removed)) {
      if (isLate(sending) && sending.status === OK) {
        yield `${sending.host} serves what version ${version} removed`;
      }
    }
  }
}

/** Requests that were with a host, or came to it, when it was asked to stop. */
export function* findLosses(history: History): Iterable<string> {
  const {contactMs, graceMs} = history.bounds;
  for (const stop of history.faults) {
    if (!stop.planned) {
      continue;
    }
    const fromMs = stop.fromMs - contactMs;
    const toMs = stop.fromMs + graceMs + 1000;
    const isAlone = history.faults.every(
      fault => fault.planned || !overlaps(fault, fromMs, toMs),
    );
    if (!isAlone) {
      continue;
    }
    for (const {id, host, sentMs, endMs, status} of history.sendings) {
      const isThere =
        host === stop.target &&
        sentMs < stop.fromMs + TURN_AWAY_MS &&
        endMs > stop.fromMs;
      if (isThere && status === 0) {
        yield `${id} was cut off by the stop of ${host}`;
      }
    }
  }
}

export function* findEnding(history: History): Iterable<string> {
  const {endingBody, endsMs, bounds} = history;
  const thirdMs = endsMs[ENDS - 1];
  if (thirdMs === undefined) {
    return;
  }
  const sent = new Map(history.sendings.map(sending => [sending.id, sending]));
  const later = history.arrivals.filter(({id, body, atMs}) => {
    const host = sent.get(id)?.host ?? '';
    const isLate = atMs > thirdMs + bounds.contactMs;
    return body === endingBody && isLate && !isStruck(history, host, atMs);
  });
  if (later.length > MORE) {
    yield `it reached servers ${later.length} times more`;
  }
}

export function* findNoRecovery({recovery}: History): Iterable<string> {
  const {asked, served} = recovery;
  if (served < asked * RECOVERED_SHARE) {
    yield `${served} of ${asked} served after everything was mended`;
  }
}

function byPath(history: History, path: string): Sending[] {
  return history.sendings.filter(sending => sending.path === path);
}

/** Tells whether a path may be gone: its removal was sent before. */
function wasRemoved(history: History, path: string, atMs: number): boolean {
  return history.changes.some(
    ({removed, ackMs}) => removed === path && ackMs - 1000 < atMs,
  );
}
