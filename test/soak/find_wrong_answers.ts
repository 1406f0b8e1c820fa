/** What callers and servers saw that no bound of time or number allows. */
import {History, RequestKind} from './history.js';
import {groupRuns, wasKilled} from './history_questions.js';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const OK = 200;
const EVENTS = 8;

export function* findDoubled(history: History): Iterable<string> {
  const runs = groupRuns(history);
  for (const {id, kind} of history.sendings) {
    const count = runs.get(id)?.length ?? 0;
    if (kind === RequestKind.ONCE && count > 1) {
      yield `${id} ran ${count} times`;
    }
  }
}

export function* findFalseRefusals(history: History): Iterable<string> {
  const runs = groupRuns(history);
  for (const {id, kind, status, host} of history.sendings) {
    if (kind === RequestKind.ONCE && NOT_RUN.has(status) && runs.has(id)) {
      yield `${id} got ${status} from ${host} and ran`;
    }
  }
}

export function* findForeignAnswers(history: History): Iterable<string> {
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

export function* findDisorder(history: History): Iterable<string> {
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

export function* findUnasked(history: History): Iterable<string> {
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

export function* findUnlogged(history: History): Iterable<string> {
  for (const {id, host, status, endMs} of history.sendings) {
    const isLost = status !== 0 && history.logged.get(host)?.has(id) === false;
    if (isLost && !wasKilled(history, host, endMs)) {
      yield `${host} answered ${id} with ${status} and logged no end`;
    }
  }
}
