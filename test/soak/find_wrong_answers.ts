/** Checks of requests and answers that hold without any bound of time or number. */
import {History, isStream, runsOnce} from './history.js';
import {findStreamRoute, listEvents} from './stream_events.js';
import {
  groupRunsById,
  isMarkedWhole,
  mayHaveLostLogLines,
} from './history_queries.js';

/** Statuses that guarantee that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const OK = 200;

export function* findRepeatedRuns(history: History): Iterable<string> {
  const runs = groupRunsById(history);
  for (const {id, kind} of history.sendings) {
    const count = runs.get(id)?.length ?? 0;
    if (runsOnce(kind) && count > 1) {
      yield `${id} ran ${count} times`;
    }
  }
}

export function* findFalseRefusals(history: History): Iterable<string> {
  const runs = groupRunsById(history);
  for (const {id, kind, status, host} of history.sendings) {
    if (runsOnce(kind) && NOT_RUN.has(status) && runs.has(id)) {
      yield `${id} got ${status} from ${host} and ran`;
    }
  }
}

export function* findMismatchedAnswers(history: History): Iterable<string> {
  const runs = groupRunsById(history);
  for (const request of history.sendings) {
    const {id, kind, status, answer, signed} = request;
    const isWhole = isMarkedWhole(history, request);
    if (status !== OK || !isWhole || isStream(kind)) {
      continue;
    }
    const ownRuns = runs.get(id) ?? [];
    if (!signed || !ownRuns.some(run => run.answer === answer)) {
      yield `${id} got "${answer.slice(0, 60)}", which no server gave as its answer`;
    }
  }
}

export function* findDisorderedEvents(history: History): Iterable<string> {
  for (const request of history.sendings) {
    const {id, kind, path, status, answer, resumed} = request;
    if (!isStream(kind) || status !== OK) {
      continue;
    }
    const eventCount = findStreamRoute(path)?.eventCount ?? 0;
    const before = resumed?.eventCount ?? 0;
    const events = listEvents(request).map(({text}) => text);
    const wrongIndex = events.findIndex((event, index) => {
      const number = before + index + 1;
      return event !== `id: ${number}\ndata: ${id}.${number}`;
    });
    if (wrongIndex >= 0) {
      yield `${id}: event ${wrongIndex + 1} is "${events[wrongIndex]}"`;
    } else if (
      isMarkedWhole(history, request) &&
      (before + events.length < eventCount || !endsBetweenEvents(answer))
    ) {
      yield `${id}: complete answer with only ${before + events.length} events`;
    }
  }
}

/** Finds streams with events of several versions, in one answer or over several requests. */
export function* findMixedVersions(history: History): Iterable<string> {
  const versions = new Map<string, Set<string>>();
  for (const request of history.sendings) {
    const id = request.resumed?.id ?? request.id;
    const known = versions.get(id) ?? new Set<string>();
    versions.set(id, known);
    const events = isStream(request.kind) ? listEvents(request) : [];
    for (const {version} of events) {
      const isNew = !known.has(version);
      known.add(version);
      if (isNew && known.size > 1) {
        yield `${id}: events of ${[...known].join(' and ')}, the last in ${request.id} from ${request.host}`;
      }
    }
  }
}

export function* findUnsentRequests(history: History): Iterable<string> {
  const requestsById = new Map(
    history.sendings.map(request => [request.id, request]),
  );
  for (const arrival of history.arrivals) {
    const {id, server, path, body, customer, leaked} = arrival;
    const request = requestsById.get(id);
    if (request === undefined) {
      yield `${server} got ${id}, which no caller sent`;
    } else if (request.path !== path || request.body !== body) {
      yield `${server} got ${id} with another path or body`;
    } else if (request.customer !== customer || leaked.length > 0) {
      yield `${server} got ${id} for customer "${customer}", forbidden headers: ${leaked.join(', ')}`;
    }
  }
}

export function* findUnloggedOutcomes(history: History): Iterable<string> {
  for (const {id, host, status, endMs} of history.sendings) {
    const isUnlogged =
      status !== 0 && history.logged.get(host)?.has(id) === false;
    if (isUnlogged && !mayHaveLostLogLines(history, host, endMs)) {
      yield `${host} answered ${id} with ${status} and logged no outcome`;
    }
  }
}

/** Returns whether an answer ends with a whole event; one that is taken up may have none left. */
function endsBetweenEvents(answer: string): boolean {
  return answer === '' || answer.endsWith('\n\n');
}
