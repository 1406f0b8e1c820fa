import {History, HistoryEvent} from './history.js';

type RunEvent = Extract<HistoryEvent, {kind: 'ran'}>;
type OutcomeEvent = Extract<HistoryEvent, {kind: 'told'}>;

/** Finds keys whose call ran more than once. */
export function findRepeatedRuns(history: History): string[] {
  const runs = new Map<string, number>();
  for (const run of listRuns(history)) {
    runs.set(run.key, (runs.get(run.key) ?? 0) + 1);
  }
  const violations: string[] = [];
  for (const [key, count] of runs) {
    if (count > 1) {
      violations.push(`${key} ran ${count} times`);
    }
  }
  return violations;
}

/** Finds requests that ran although they were reported as not executed. */
export function findFalseRefusals(history: History): string[] {
  const ran = new Set(listRuns(history).map(run => run.instance));
  const violations: string[] = [];
  for (const event of listOutcomes(history)) {
    if (event.outcome === 'did-not-run' && ran.has(event.instance)) {
      violations.push(
        `${event.instance} was reported as not executed, but ran`,
      );
    }
  }
  return violations;
}

/** Finds answers that do not belong to the caller's own request. */
export function findMismatchedAnswers(history: History): string[] {
  const asked = new Map<string, string>();
  const ran = new Set(listRuns(history).map(run => run.key));
  for (const event of history.events) {
    if (event.kind === 'asked') {
      asked.set(event.instance, event.payload);
    }
  }
  const violations: string[] = [];
  for (const event of listOutcomes(history)) {
    if (event.outcome !== 'answered') {
      continue;
    }
    if (event.payload !== asked.get(event.instance)) {
      violations.push(
        `${event.instance} received the answer to ${event.payload}`,
      );
    }
    if (!ran.has(event.key)) {
      violations.push(`${event.instance} was answered, but its call never ran`);
    }
  }
  return violations;
}

/**
 * Finds accepted calls that never ran. The promise covers announced shutdowns
 * only: after a crash the outcome of an accepted call may be unknown.
 */
export function findLostAcceptances(history: History): string[] {
  if (history.crashed) {
    return [];
  }
  const ran = new Set(listRuns(history).map(run => run.key));
  const violations: string[] = [];
  for (const event of listOutcomes(history)) {
    if (event.outcome === 'accepted' && !ran.has(event.key)) {
      violations.push(`${event.key} was accepted, but never ran`);
    }
  }
  return violations;
}

/** Finds requests whose caller received no outcome, as after an aborted request. */
export function findUnanswered(history: History): string[] {
  const violations: string[] = [];
  for (const event of listOutcomes(history)) {
    if (event.outcome === 'nothing') {
      violations.push(`${event.instance} received no outcome`);
    }
  }
  return violations;
}

/** Counts the requests whose caller received a given outcome. */
export function countOutcomes(history: History, wanted: string): number {
  let count = 0;
  for (const event of listOutcomes(history)) {
    count += event.outcome === wanted ? 1 : 0;
  }
  return count;
}

function listRuns(history: History): RunEvent[] {
  return history.events.filter(
    (event): event is RunEvent => event.kind === 'ran',
  );
}

function listOutcomes(history: History): OutcomeEvent[] {
  return history.events.filter(
    (event): event is OutcomeEvent => event.kind === 'told',
  );
}
