import {
  countTold,
  findCrossedAnswers,
  findDoubled,
  findFalseRefusals,
  findLostAcceptances,
} from './check_calls.js';
import {CallSchedule, createCallSchedules} from './call_schedule.js';
import {CallVariant, CallWorld} from './call_world.js';
import {History} from './history.js';
import {Proof, RunReport} from './proof.js';

/** Finds what breaks a promise in a history. */
type Check = (history: History) => string[];

/** A call that may not be repeated runs at most once. */
export const atMostOnce = createProof(
  'at-most-once',
  'dispatches before the record is durable',
  {dispatchesFirst: true},
  true,
  findDoubled,
);

/** What is said not to have run has not, and never will. */
export const refusalsAreTrue = createProof(
  'refusals-are-true',
  'takes a lost answer for a call that was not sent',
  {trustsSilence: true},
  true,
  findFalseRefusals,
);

/** Each caller gets the whole answer to its own call. */
export const ownAnswers = createProof(
  'own-answers',
  'passes on the answer of another call',
  {crossesAnswers: true},
  true,
  findCrossedAnswers,
);

/** An accepted call survives every announced departure. */
export const acceptedSurvives = createProof(
  'accepted-survives',
  'hands books over without their entries',
  {dropsEntries: true},
  false,
  findLostAcceptances,
);

function createProof(
  name: string,
  variantText: string,
  variant: CallVariant,
  crashes: boolean,
  check: Check,
): Proof<CallSchedule> {
  return {
    name,
    variant: variantText,
    schedules: createCallSchedules(crashes),
    run: async (schedule, broken) => {
      const world = new CallWorld(broken ? variant : {});
      return report(await world.run(schedule), check);
    },
  };
}

function report(history: History, check: Check): RunReport {
  const operations = history.events.filter(event => event.kind === 'asked');
  return {
    violations: check(history),
    operations: operations.length,
    faults: history.faults,
    answered: countTold(history, 'answered') + countTold(history, 'accepted'),
    refused: countTold(history, 'did-not-run'),
    unknown: countTold(history, 'unknown') + countTold(history, 'nothing'),
  };
}
