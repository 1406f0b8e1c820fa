import {History, HistoryEvent} from './history.js';

type Ran = Extract<HistoryEvent, {kind: 'ran'}>;
type ToldEvent = Extract<HistoryEvent, {kind: 'told'}>;

/** Finds keys that ran more than once. */
export function findDoubled(history: History): string[] {
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

/** Finds requests that ran although their caller was told that they did not. */
export function findFalseRefusals(history: History): string[] {
  const ran = new Set(listRuns(history).map(run => run.instance));
  const violations: string[] = [];
  for (const told of listTold(history)) {
    if (told.told === 'did-not-run' && ran.has(told.instance)) {
      violations.push(`${told.instance} was refused, and ran`);
    }
  }
  return violations;
}

/** Finds answers that are not the answer to their caller's own request. */
export function findCrossedAnswers(history: History): string[] {
  const asked = new Map<string, string>();
  const ran = new Set(listRuns(history).map(run => run.key));
  for (const event of history.events) {
    if (event.kind === 'asked') {
      asked.set(event.instance, event.payload);
    }
  }
  const violations: string[] = [];
  for (const told of listTold(history)) {
    if (told.told !== 'answered') {
      continue;
    }
    if (told.payload !== asked.get(told.instance)) {
      violations.push(`${told.instance} got the answer to ${told.payload}`);
    }
    if (!ran.has(told.key)) {
      violations.push(`${told.instance} was answered, and never ran`);
    }
  }
  return violations;
}

/**
 * Finds accepted calls that never ran. Only announced departures are promised
 * to lose nothing; after a crash an accepted call may end as unknown.
 */
export function findLostAcceptances(history: History): string[] {
  if (history.crashed) {
    return [];
  }
  const ran = new Set(listRuns(history).map(run => run.key));
  const violations: string[] = [];
  for (const told of listTold(history)) {
    if (told.told === 'accepted' && !ran.has(told.key)) {
      violations.push(`${told.key} was accepted, and never ran`);
    }
  }
  return violations;
}

/** Finds requests that a planned stop cut off: nobody told their callers. */
export function findCutOff(history: History): string[] {
  const violations: string[] = [];
  for (const told of listTold(history)) {
    if (told.told === 'nothing') {
      violations.push(`${told.instance} was cut off`);
    }
  }
  return violations;
}

/** Counts what callers were told. */
export function countTold(history: History, wanted: string): number {
  let count = 0;
  for (const told of listTold(history)) {
    count += told.told === wanted ? 1 : 0;
  }
  return count;
}

function listRuns(history: History): Ran[] {
  return history.events.filter((event): event is Ran => event.kind === 'ran');
}

function listTold(history: History): ToldEvent[] {
  return history.events.filter(
    (event): event is ToldEvent => event.kind === 'told',
  );
}
