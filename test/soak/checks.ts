import {Arrival, FaultSpan, History, RequestKind, Sending} from './history.js';

/** A promise that did not hold. */
export interface Violation {
  readonly check: string;
  readonly detail: string;
}

/** Finds where a promise did not hold. */
type Find = (history: History) => Iterable<string>;

/** A promise, judged by what callers, servers, store and cloud saw. */
export interface Check {
  readonly name: string;
  /** Whether it has a bound of time, which a busy machine can break. */
  readonly timely: boolean;
  readonly find: Find;
}

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const UNKNOWN_ROUTE = 404;
const OK = 200;
const EVENTS = 8;
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

/** Time in which a line may not have left its process, in milliseconds. */
const UNWRITTEN_MS = 1000;

/** Every check of a run. */
export const CHECKS: readonly Check[] = [
  {name: 'at most once', timely: false, find: findDoubled},
  {name: 'true refusals', timely: false, find: findFalseRefusals},
  {name: 'own whole answers', timely: false, find: findForeignAnswers},
  {name: 'events once and in order', timely: false, find: findDisorder},
  {name: 'nothing unasked', timely: false, find: findUnasked},
  {name: 'retry budget', timely: false, find: findExcessRetries},
  {name: 'quota', timely: false, find: findExcessUnits},
  {name: 'counts decided once', timely: false, find: findChangedCounts},
  {name: 'fences never lower', timely: false, find: findLowerFences},
  {name: 'configuration never back', timely: false, find: findStepsBack},
  {
    name: 'no exits of its own',
    timely: false,
    find: history => history.ownExits,
  },
  {name: 'ends in the logs', timely: false, find: findUnlogged},
  {name: 'configuration in time', timely: true, find: findLateChanges},
  {name: 'leaving servers get nothing', timely: true, find: findLateWork},
  {name: 'planned stops lose nothing', timely: true, find: findLosses},
  {name: 'requests that end servers', timely: true, find: findEnding},
  {name: 'recovery', timely: true, find: findNoRecovery},
];

/**
 * Judges a run.
 * @param history - What was seen.
 * @param timely - Whether bounds of time are judged, too.
 */
export function judge(history: History, timely: boolean): Violation[] {
  const violations: Violation[] = [];
  for (const check of CHECKS) {
    if (check.timely && !timely) {
      continue;
    }
    for (const detail of check.find(history)) {
      violations.push({check: check.name, detail});
    }
  }
  return violations;
}

function groupRuns(history: History): Map<string, Arrival[]> {
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

function* findDoubled(history: History): Iterable<string> {
  const runs = groupRuns(history);
  for (const {id, kind} of history.sendings) {
    const count = runs.get(id)?.length ?? 0;
    if (kind === RequestKind.ONCE && count > 1) {
      yield `${id} ran ${count} times`;
    }
  }
}

function* findFalseRefusals(history: History): Iterable<string> {
  const runs = groupRuns(history);
  for (const {id, kind, status, host} of history.sendings) {
    if (kind === RequestKind.ONCE && NOT_RUN.has(status) && runs.has(id)) {
      yield `${id} got ${status} from ${host} and ran`;
    }
  }
}

function* findForeignAnswers(history: History): Iterable<string> {
  const runs = groupRuns(history);
  for (const sending of history.sendings) {
    const {id, kind, status, whole, answer, signed} = sending;
    if (status !== OK || !whole || kind === RequestKind.STREAM) {
      continue;
    }
    const own = runs.get(id) ?? [];
    if (!signed || !own.some(run => run.answer === answer)) {
      yield `${id} got "${answer.slice(0, 60)}", no server's answer to it`;
    }
  }
}

function* findDisorder(history: History): Iterable<string> {
  for (const {id, kind, status, whole, answer} of history.sendings) {
    if (kind !== RequestKind.STREAM || status !== OK) {
      continue;
    }
    const events = answer.split('\n\n').filter(event => event !== '');
    // The last may be cut where the channel broke.
    const cut = answer.endsWith('\n\n') ? events : events.slice(0, -1);
    const wrong = cut.findIndex(
      (event, index) => event !== `id: ${index + 1}\ndata: ${id}.${index + 1}`,
    );
    if (wrong >= 0) {
      yield `${id}: event ${wrong + 1} is "${cut[wrong]}"`;
    } else if (whole && cut.length < EVENTS) {
      yield `${id}: ended as whole after ${cut.length} events`;
    }
  }
}

function* findUnasked(history: History): Iterable<string> {
  const sent = new Map(history.sendings.map(sending => [sending.id, sending]));
  for (const arrival of history.arrivals) {
    const {id, server, path, body, customer, leaked} = arrival;
    const sending = sent.get(id);
    if (sending === undefined) {
      yield `${server} got ${id}, which nobody sent`;
    } else if (sending.path !== path || sending.body !== body) {
      yield `${server} got ${id} with another path or body`;
    } else if (sending.customer !== customer || leaked.length > 0) {
      yield `${server} got ${id} of "${customer}" with ${leaked.join(', ')}`;
    }
  }
}

/** Yields the start of each span that ends with one of some times. */
function* listWindows(
  timesMs: readonly number[],
  windowMs: number,
): Iterable<readonly [fromMs: number, toMs: number]> {
  for (const toMs of timesMs) {
    yield [toMs - windowMs, toMs];
  }
}

function* findExcessRetries(history: History): Iterable<string> {
  const {retryRatio, retrySlack, retryWindowMs} = history.bounds;
  const seen = new Set<string>();
  const retriesMs: number[] = [];
  for (const {id, atMs} of history.arrivals) {
    if (seen.has(id)) {
      retriesMs.push(atMs);
    }
    seen.add(id);
  }
  const sentMs = history.sendings.map(sending => sending.sentMs);
  const count = (times: readonly number[], fromMs: number, toMs: number) =>
    times.filter(ms => ms > fromMs && ms <= toMs).length;
  for (const [fromMs, toMs] of listWindows(retriesMs, retryWindowMs)) {
    const requests = Math.max(
      count(sentMs, fromMs, toMs),
      count(sentMs, fromMs - retryWindowMs, toMs - retryWindowMs),
    );
    const retries = count(retriesMs, fromMs, toMs);
    if (retries > retryRatio * requests + retrySlack) {
      yield `${retries} retries of ${requests} requests until ${toMs} ms`;
      return;
    }
  }
}

function* findExcessUnits(history: History): Iterable<string> {
  const {rates, quotaWindowMs, quotaOverage, quotaSlack} = history.bounds;
  const runs = groupRuns(history);
  for (const [customer, [rate, burst]] of rates) {
    const firstMs = [...runs.values()]
      .filter(([first]) => first?.customer === customer)
      .map(([first]) => first?.atMs ?? 0)
      .sort((a, b) => a - b);
    const allowed =
      ((rate * quotaWindowMs) / 1000 + burst) * (1 + quotaOverage) + quotaSlack;
    for (const [fromMs, toMs] of listWindows(firstMs, quotaWindowMs)) {
      const units = firstMs.filter(ms => ms > fromMs && ms <= toMs).length;
      if (units > allowed) {
        yield `${customer}: ${units} of ${allowed} until ${toMs} ms`;
        break;
      }
    }
  }
}

function* findChangedCounts(history: History): Iterable<string> {
  const decided = new Map<number, string>();
  for (const {window, counts, holder} of history.duties) {
    const before = decided.get(window);
    if (before !== undefined && before !== counts) {
      yield `window ${window}: ${before}, then ${counts} by ${holder}`;
    }
    decided.set(window, counts);
  }
}

function* findLowerFences(history: History): Iterable<string> {
  const holders = new Map<number, string>();
  let highest = 0;
  for (const {fence, holder, atMs} of history.duties) {
    const known = holders.get(fence);
    if (known !== undefined && known !== holder) {
      yield `${holder} and ${known} both used fence ${fence}`;
    }
    holders.set(fence, holder);
    if (fence < highest && !isStruck(history, holder, atMs)) {
      yield `${holder} used fence ${fence} after ${highest}`;
    }
    highest = Math.max(highest, fence);
  }
}

/** Tells whether a fault struck a host, or all, in the time of contact before. */
function isStruck(history: History, host: string, atMs: number): boolean {
  const sinceMs = atMs - history.bounds.contactMs;
  return history.faults.some(
    fault => touches(fault, host) && overlaps(fault, sinceMs, atMs),
  );
}

function touches({target}: FaultSpan, host: string): boolean {
  return target === '' || target === host;
}

function overlaps(fault: FaultSpan, fromMs: number, toMs: number): boolean {
  return fault.fromMs <= toMs && fault.toMs >= fromMs;
}

function byPath(history: History, path: string): Sending[] {
  return history.sendings.filter(sending => sending.path === path);
}

function* findStepsBack(history: History): Iterable<string> {
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

/** Tells whether a path may be gone: its removal was sent before. */
function wasRemoved(history: History, path: string, atMs: number): boolean {
  return history.changes.some(
    ({removed, ackMs}) => removed === path && ackMs - 1000 < atMs,
  );
}

function* findLateChanges(history: History): Iterable<string> {
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

function* findLateWork(history: History): Iterable<string> {
  const {drainMs} = history.bounds;
  const sent = new Map(history.sendings.map(sending => [sending.id, sending]));
  for (const {server, atMs: leftMs} of history.leavings) {
    for (const {id, server: at, atMs} of history.arrivals) {
      const sending = sent.get(id);
      if (at !== server || sending === undefined) {
        continue;
      }
      const isLate = sending.sentMs > leftMs + drainMs && atMs > leftMs;
      if (isLate && !isStruck(history, sending.host, atMs)) {
        yield `${id} reached ${server} ${atMs - leftMs} ms after it left`;
      }
    }
  }
}

/** Requests that were with a host, or came to it, when it was asked to stop. */
function* findLosses(history: History): Iterable<string> {
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

function* findEnding(history: History): Iterable<string> {
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

function* findNoRecovery({recovery}: History): Iterable<string> {
  const {asked, served} = recovery;
  if (served < asked * RECOVERED_SHARE) {
    yield `${served} of ${asked} served after everything was mended`;
  }
}

function* findUnlogged(history: History): Iterable<string> {
  for (const {id, host, status, endMs} of history.sendings) {
    const isLost = status !== 0 && history.logged.get(host)?.has(id) === false;
    if (isLost && !wasKilled(history, host, endMs)) {
      yield `${host} answered ${id} with ${status} and logged no end`;
    }
  }
}

/** Tells whether a host was killed so soon after that its last lines are lost. */
function wasKilled(history: History, host: string, atMs: number): boolean {
  return history.faults.some(
    fault =>
      fault.kind.includes('kill') &&
      touches(fault, host) &&
      overlaps(fault, atMs - UNWRITTEN_MS, atMs + UNWRITTEN_MS),
  );
}
