import fc from 'fast-check';
import {countOutcomes} from './check_calls.js';
import {CallStep, createCallSchedules} from './call_schedule.js';
import {CallSimulation} from './call_simulation.js';

/** Numbers of calls by the outcome their callers received, under one kind of fault. */
export interface FaultRate {
  readonly fault: string;
  readonly calls: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  /** Calls without any response, because their host died or froze. */
  readonly nothing: number;
}

/**
 * Measures the outcomes that callers receive under each kind of fault alone.
 * @param seed - Seed of the generated schedules.
 * @param histories - Number of schedules per kind of fault.
 * @returns One rate per kind of fault, and one for `none`.
 */
export async function reportRates(
  seed: number,
  histories: number,
): Promise<FaultRate[]> {
  const schedules = fc.sample(createCallSchedules(true), {
    seed,
    numRuns: histories,
  });
  const rates: FaultRate[] = [];
  for (const fault of listFaults(schedules.flat().map(item => item.step))) {
    let rate = {
      fault,
      calls: 0,
      answered: 0,
      refused: 0,
      unknown: 0,
      nothing: 0,
    };
    for (const schedule of schedules) {
      const reducedSchedule = schedule.filter(
        ({step}) => step.kind === 'call' || getFaultName(step) === fault,
      );
      const history = await new CallSimulation({}, false).run(reducedSchedule);
      const asked = history.events.filter(event => event.kind === 'asked');
      rate = {
        fault,
        calls: rate.calls + asked.length,
        answered:
          rate.answered +
          countOutcomes(history, 'answered') +
          countOutcomes(history, 'accepted'),
        refused: rate.refused + countOutcomes(history, 'did-not-run'),
        unknown: rate.unknown + countOutcomes(history, 'unknown'),
        nothing: rate.nothing + countOutcomes(history, 'nothing'),
      };
    }
    rates.push(rate);
  }
  return rates;
}

function listFaults(steps: readonly CallStep[]): string[] {
  const names = new Set(['none']);
  for (const step of steps) {
    if (step.kind !== 'call') {
      names.add(getFaultName(step));
    }
  }
  return [...names].sort();
}

function getFaultName(step: CallStep): string {
  return 'fault' in step ? `${step.kind}-${step.fault}` : step.kind;
}
