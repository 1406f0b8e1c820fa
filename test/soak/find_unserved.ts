/** Checks that hosts which reach no server serve their callers by way of others. */
import {History, SentRequest} from './history.js';
import {affects} from './history_queries.js';
import {FaultKind} from './schedule.js';

const OK = 200;
/** Requests must be served at least this share as often as at the other hosts. */
const MIN_SERVED_SHARE = 2 / 3;
/** Requests that may fail in any case: this number, and this share of all. */
const TOLERATED_FAILURES = 10;
const TOLERATED_SHARE = 1 / 50;

/**
 * Compares requests at hosts that are partitioned from all servers with those at the other
 * hosts, from the contact bound after the partition began. All hosts that a schedule
 * partitions are partitioned at the same time.
 */
export function* findUnservedAtPartitions(history: History): Iterable<string> {
  const partitions = history.faults.filter(
    ({kind}) => kind === FaultKind.HOST_PARTITIONED,
  );
  const hosts = new Set(partitions.map(({target}) => target));
  const fromMs = Math.max(...partitions.map(fault => fault.fromMs));
  const toMs = Math.min(...partitions.map(fault => fault.toMs));
  const others = [...new Set(history.sendings.map(({host}) => host))].filter(
    host => !hosts.has(host),
  );
  const sent = history.sendings.filter(
    request =>
      request.sentMs >= fromMs + history.bounds.contactMs &&
      request.endMs <= toMs &&
      !NOT_OWED.has(request.status) &&
      // Requests that crash servers are quarantined.
      request.body !== history.endingBody &&
      !request.hasCrashingPart &&
      !request.hasLeft &&
      !wasStopped(history, request.host, request) &&
      // Without another host that can take it, a request has no way to a server.
      others.some(host => !wasStopped(history, host, request)),
  );
  const cutOff = sent.filter(({host}) => hosts.has(host));
  const atOthers = sent.filter(({host}) => !hosts.has(host));
  const failed = cutOff.length - countServed(cutOff);
  const expected =
    (MIN_SERVED_SHARE * cutOff.length * countServed(atOthers)) /
    Math.max(1, atOthers.length);
  const tolerated = TOLERATED_FAILURES + sent.length * TOLERATED_SHARE;
  // Where servers refuse most requests at all hosts, a part of one request shows nothing.
  if (countServed(cutOff) < Math.floor(expected) && failed > tolerated) {
    yield `partitioned hosts served ${countServed(cutOff)} of ${cutOff.length} requests, the others ${countServed(atOthers)} of ${atOthers.length}`;
  }
}

/** Statuses of requests that are not owed an answer: without a route, beyond a rate. */
const NOT_OWED: ReadonlySet<number> = new Set([404, 429]);
/** Faults after which a host may fail requests whatever it reaches. */
const STOPPING_FAULTS: ReadonlySet<string> = new Set([
  FaultKind.ALL_KILLED,
  FaultKind.HOST_KILL,
  FaultKind.HOST_STOP,
  FaultKind.HOST_FREEZE,
]);

/**
 * Returns whether a host was stopped or stood still shortly before a request ended. It is back
 * when it serves requests of its own again: a process takes seconds to start on a busy machine.
 */
function wasStopped(
  history: History,
  host: string,
  {sentMs, endMs}: SentRequest,
): boolean {
  const sinceMs = sentMs - history.bounds.contactMs;
  return history.faults.some(
    fault =>
      STOPPING_FAULTS.has(fault.kind) &&
      affects(fault, host) &&
      fault.fromMs <= endMs &&
      getBackMs(history, host, fault.toMs) >= sinceMs,
  );
}

/** Returns when a host first got a request that it served after the end of a fault. */
function getBackMs(history: History, host: string, sinceMs: number): number {
  const served = history.sendings.filter(
    request =>
      request.host === host &&
      request.status === OK &&
      request.sentMs >= sinceMs,
  );
  return Math.min(...served.map(({sentMs}) => sentMs));
}

function countServed(requests: readonly SentRequest[]): number {
  return requests.filter(({status, whole}) => status === OK && whole).length;
}
