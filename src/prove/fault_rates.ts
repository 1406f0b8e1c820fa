import fc from 'fast-check';
import {countTold} from './check_calls.js';
import {CallStep, createCallSchedules} from './call_schedule.js';
import {CallWorld} from './call_world.js';

/** Shares of calls answered, refused truly and left unknown under one fault. */
export interface FaultRate {
  readonly fault: string;
  readonly calls: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  /** Calls whose host died or froze, so that nobody told the caller. */
  readonly nothing: number;
}

/**
 * Measures, for each kind of fault alone, what callers were told.
 * @param seed - Seed of the schedules.
 * @param histories - Schedules per fault.
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
      const alone = schedule.filter(
        ({step}) => step.kind === 'call' || getFaultName(step) === fault,
      );
      const history = await new CallWorld({}, false).run(alone);
      const asked = history.events.filter(event => event.kind === 'asked');
      rate = {
        fault,
        calls: rate.calls + asked.length,
        answered:
          rate.answered +
          countTold(history, 'answered') +
          countTold(history, 'accepted'),
        refused: rate.refused + countTold(history, 'did-not-run'),
        unknown: rate.unknown + countTold(history, 'unknown'),
        nothing: rate.nothing + countTold(history, 'nothing'),
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
