import fc from 'fast-check';
import {
  countTold,
  findCrossedAnswers,
  findCutOff,
  findDoubled,
  findFalseRefusals,
  findLostAcceptances,
} from './check_calls.js';
import {
  CallSchedule,
  createCallSchedules,
  createStopSchedules,
} from './call_schedule.js';
import {CallVariant} from './call_variant.js';
import {CallWorld} from './call_world.js';
import {History} from './history.js';
import {Proof, RunReport} from './proof.js';

/** Finds what breaks a promise in a history. */
type Check = (history: History) => string[];

/** A call that may not be repeated runs at most once. */
export const atMostOnce = createProof(
  'at-most-once',
  'dispatches before the record is durable',
  {dispatchesFirst: true},
  createCallSchedules(true),
  findDoubled,
);

/** What is said not to have run has not, and never will. */
export const refusalsAreTrue = createProof(
  'refusals-are-true',
  'takes a lost answer for a call that was not sent',
  {trustsSilence: true},
  createCallSchedules(true),
  findFalseRefusals,
);

/** Each caller gets the whole answer to its own call. */
export const ownAnswers = createProof(
  'own-answers',
  'passes on the answer of another call',
  {crossesAnswers: true},
  createCallSchedules(true),
  findCrossedAnswers,
);

/** An accepted call survives every announced departure. */
export const acceptedSurvives = createProof(
  'accepted-survives',
  'hands books over without their entries',
  {dropsEntries: true},
  createCallSchedules(false),
  findLostAcceptances,
);

/** A planned stop cuts off no request in flight. */
export const stopsCutNothing = createProof(
  'stops-cut-nothing',
  'ends the process at once',
  {stopsAtOnce: true},
  createStopSchedules(),
  findCutOff,
  true,
);

function createProof(
  name: string,
  variantText: string,
  variant: CallVariant,
  schedules: fc.Arbitrary<CallSchedule>,
  check: Check,
  balances = false,
): Proof<CallSchedule> {
  return {
    name,
    variant: variantText,
    schedules,
    run: async (schedule, broken) => {
      const world = new CallWorld(broken ? variant : {}, balances);
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
