/** Checks of configuration changes, planned stops, crashing requests and recovery. */
import {History, SentRequest} from './history.js';
import {affects, hadRecentFault, overlaps} from './history_queries.js';
import {FaultKind} from './schedule.js';

const NOT_FOUND = 404;
const OK = 200;
/** Share of requests that must be served after all faults have ended. */
const RECOVERED_SHARE = 0.9;
/** Crashes after which a part of prompts must be known as their cause. */
const PART_CRASHES_UNTIL_KNOWN = 5;
/** Times that a crashing request may reach servers after it is known to crash them. */
const MAX_LATER_ARRIVALS = 3;
/** Servers that a request crashes before it is known as the cause. */
const CRASHES_UNTIL_KNOWN = 3;
/** Time within which the balancer removes a host that is stopping, in milliseconds. */
const BALANCER_REMOVAL_MS = 3000;
/** Faults of a host that end its connections to callers. */
const CUTTING_FAULTS: ReadonlySet<string> = new Set([
  FaultKind.ALL_KILLED,
  FaultKind.HOST_KILL,
  FaultKind.HOST_FREEZE,
]);
/** From this share of its grace period on, a host may cut what still runs. */
const GRACE_SHARE = 5 / 6;
/** Tolerance for an apparent rollback of one host's configuration, in milliseconds. */
const ROLLBACK_SLACK_MS = 250;

export function* findConfigurationRollbacks(
  history: History,
): Iterable<string> {
  for (const {added, version} of history.changes) {
    const firstSeenMs = new Map<string, number>();
    for (const {host, start, status, sentMs, endMs} of listSentTo(
      history,
      added,
    )) {
      const incarnation = `${host}/${start}`;
      const sinceMs = firstSeenMs.get(incarnation);
      const isRouteKnown = status !== 0 && status !== NOT_FOUND;
      if (isRouteKnown && status !== 503) {
        firstSeenMs.set(incarnation, Math.min(sinceMs ?? endMs, endMs));
      } else if (
        status === NOT_FOUND &&
        sinceMs !== undefined &&
        sentMs > sinceMs + ROLLBACK_SLACK_MS &&
        !wasRemoved(history, added, sentMs)
      ) {
        yield `${incarnation} reverted version ${version} at ${sentMs} ms`;
      }
    }
  }
}

export function* findLateChanges(history: History): Iterable<string> {
  const {applyMs} = history.bounds;
  for (const {added, removed, ackMs, version} of history.changes) {
    const isPastBound = ({sentMs, host}: SentRequest) =>
      sentMs > ackMs + applyMs && !hadRecentFault(history, host, sentMs);
    for (const request of listSentTo(history, added)) {
      const isRemoved = wasRemoved(history, added, request.sentMs);
      if (isPastBound(request) && request.status === NOT_FOUND && !isRemoved) {
        yield `${request.host} has not applied version ${version} at ${request.sentMs} ms`;
      }
    }
    for (const request of listSentTo(history, removed)) {
      if (isPastBound(request) && request.status === OK) {
        yield `${request.host} still serves a route that version ${version} removed`;
      }
    }
  }
}

/**
 * Finds requests without an answer that were in flight at a host when it was asked to
 * stop, or were sent to it before the balancer removed it.
 */
export function* findRequestsCutByStops(history: History): Iterable<string> {
  const {contactMs, graceMs} = history.bounds;
  for (const stop of history.faults) {
    if (!stop.planned) {
      continue;
    }
    const fromMs = stop.fromMs - contactMs;
    const toMs = stop.fromMs + graceMs + 1000;
    const isOnlyFault = history.faults.every(
      fault => fault.planned || !overlaps(fault, fromMs, toMs),
    );
    if (!isOnlyFault) {
      continue;
    }
    for (const {id, host, sentMs, endMs, status} of history.sendings) {
      const wasAtHost =
        host === stop.target &&
        sentMs < stop.fromMs + BALANCER_REMOVAL_MS &&
        endMs > stop.fromMs;
      if (wasAtHost && status === 0) {
        yield `${id} was cut off by the planned stop of ${host}`;
      }
    }
  }
}

/**
 * Finds requests that a server has run around a planned stop, and whose connection ended without
 * an answer, also those sent after the balancer has removed the host. At the end of the grace
 * period a host may cut what still runs.
 */
export function* findRunsLostByStops(history: History): Iterable<string> {
  const {contactMs, graceMs} = history.bounds;
  const arrived = new Set(history.arrivals.map(({id}) => id));
  for (const stop of history.faults) {
    const fromMs = stop.fromMs - contactMs;
    const toMs = stop.fromMs + graceMs * GRACE_SHARE;
    // A host answers whatever becomes of the servers and the store, unless it is struck itself.
    const wasStruck = history.faults.some(
      fault =>
        CUTTING_FAULTS.has(fault.kind) &&
        affects(fault, stop.target) &&
        overlaps(fault, fromMs, toMs),
    );
    if (!stop.planned || wasStruck) {
      continue;
    }
    for (const request of history.sendings) {
      const {id, host, sentMs, endMs, status} = request;
      const gaveUp = request.hasLeft || endMs - sentMs >= request.limitMs;
      const wasLost = status === 0 && !gaveUp && arrived.has(id);
      const wasAtStop = endMs > stop.fromMs && endMs <= toMs;
      if (wasLost && host === stop.target && wasAtStop) {
        yield `${id} was run, and its connection closed without an answer by the planned stop of ${host}`;
      }
    }
  }
}

export function* findRepeatedCrashingRequests(
  history: History,
): Iterable<string> {
  const {endingBody, endsMs, bounds} = history;
  const knownMs = endsMs[CRASHES_UNTIL_KNOWN - 1];
  if (knownMs === undefined) {
    return;
  }
  const requestsById = new Map(
    history.sendings.map(request => [request.id, request]),
  );
  const laterArrivals = history.arrivals.filter(({id, body, atMs}) => {
    const host = requestsById.get(id)?.host ?? '';
    const isPastBound = atMs > knownMs + bounds.contactMs;
    return (
      body === endingBody && isPastBound && !hadRecentFault(history, host, atMs)
    );
  });
  if (laterArrivals.length > MAX_LATER_ARRIVALS) {
    yield `the crashing request reached servers ${laterArrivals.length} more times after it was known`;
  }
}

export function* findRepeatedCrashingParts(history: History): Iterable<string> {
  const {partCrashesMs, bounds} = history;
  const knownMs = partCrashesMs[PART_CRASHES_UNTIL_KNOWN - 1];
  if (knownMs === undefined) {
    return;
  }
  const requestsById = new Map(
    history.sendings.map(request => [request.id, request]),
  );
  const laterArrivals = history.arrivals.filter(
    ({id, hasCrashingPart, atMs}) =>
      hasCrashingPart &&
      atMs > knownMs + bounds.contactMs &&
      !hadRecentFault(history, requestsById.get(id)?.host ?? '', atMs),
  );
  if (laterArrivals.length > MAX_LATER_ARRIVALS) {
    yield `requests with the crashing part reached servers ${laterArrivals.length} more times after it was known`;
  }
}

export function* findIncompleteRecovery({recovery}: History): Iterable<string> {
  const {asked, served} = recovery;
  if (served < asked * RECOVERED_SHARE) {
    yield `${served} of ${asked} requests served after all faults ended`;
  }
}

function listSentTo(history: History, path: string): SentRequest[] {
  return history.sendings.filter(request => request.path === path);
}

/**
 * Returns whether a path may already be removed: the store accepted its removal before
 * the given time, or less than a second after it.
 */
function wasRemoved(history: History, path: string, atMs: number): boolean {
  return history.changes.some(
    ({removed, ackMs}) => removed === path && ackMs - 1000 < atMs,
  );
}
