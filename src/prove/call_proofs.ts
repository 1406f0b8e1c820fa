import fc from 'fast-check';
import {
  countOutcomes,
  findMismatchedAnswers,
  findUnanswered,
  findRepeatedRuns,
  findFalseRefusals,
  findLostAcceptances,
} from './check_calls.js';
import {
  CallSchedule,
  createCallSchedules,
  createStopSchedules,
} from './call_schedule.js';
import {CallVariant} from './call_variant.js';
import {CallSimulation} from './call_simulation.js';
import {History} from './history.js';
import {Proof, RunReport} from './proof.js';

/** Returns the violations of a promise in a history, one text each. */
type FindViolations = (history: History) => string[];

/** A call that must not be repeated runs at most once. */
export const atMostOnce = createProof(
  'at-most-once',
  'dispatches before the record is durable',
  {dispatchesBeforeRecording: true},
  createCallSchedules(true),
  findRepeatedRuns,
);

/** A call that is reported as not executed has not run and never will. */
export const refusalsAreTrue = createProof(
  'refusals-are-true',
  'treats a lost answer as a call that was not sent',
  {treatsLostAsNotSent: true},
  createCallSchedules(true),
  findFalseRefusals,
);

/** Each caller receives the complete answer to its own call. */
export const ownAnswers = createProof(
  'own-answers',
  'returns the answer to another call',
  {returnsOtherAnswers: true},
  createCallSchedules(true),
  findMismatchedAnswers,
);

/** An accepted call survives every announced shutdown of a host. */
export const acceptedSurvives = createProof(
  'accepted-survives',
  'hands books over without their entries',
  {dropsEntries: true},
  createCallSchedules(false),
  findLostAcceptances,
);

/** A planned shutdown aborts no in-flight request. */
export const stopsCutNothing = createProof(
  'stops-cut-nothing',
  'terminates the process at once',
  {terminatesAtOnce: true},
  createStopSchedules(),
  findUnanswered,
  true,
);

function createProof(
  name: string,
  variantText: string,
  variant: CallVariant,
  schedules: fc.Arbitrary<CallSchedule>,
  findViolations: FindViolations,
  usesBalancer = false,
): Proof<CallSchedule> {
  return {
    name,
    variant: variantText,
    schedules,
    run: async (schedule, broken) => {
      const simulation = new CallSimulation(
        broken ? variant : {},
        usesBalancer,
      );
      return createReport(await simulation.run(schedule), findViolations);
    },
  };
}

function createReport(
  history: History,
  findViolations: FindViolations,
): RunReport {
  const operations = history.events.filter(event => event.kind === 'asked');
  return {
    violations: findViolations(history),
    operations: operations.length,
    faults: history.faults,
    answered:
      countOutcomes(history, 'answered') + countOutcomes(history, 'accepted'),
    refused: countOutcomes(history, 'did-not-run'),
    unknown:
      countOutcomes(history, 'unknown') + countOutcomes(history, 'nothing'),
  };
}
