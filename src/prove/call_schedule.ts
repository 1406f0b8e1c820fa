import fc from 'fast-check';
import {TableFault} from './faulty_table.js';

/** Faults of the back end in proofs. */
export const ServiceFault = {
  NONE: 'none',
  /** Connections are refused: nothing is sent. */
  REFUSES: 'refuses',
  /** It runs the call; the answer is lost. */
  ANSWER_LOST: 'answer-lost',
  /** The call is lost on the way, but may have been sent. */
  CALL_LOST: 'call-lost',
  /** The call arrives and runs long after it was given up. */
  LATE: 'late',
} as const;
export type ServiceFault = (typeof ServiceFault)[keyof typeof ServiceFault];

/** One step of a schedule of calls and faults. */
export type CallStep =
  | {
      readonly kind: 'call';
      readonly host: number;
      readonly key: number;
      readonly async: boolean;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'table';
      readonly fault: TableFault;
      readonly forMs: number;
    }
  | {
      readonly kind: 'service';
      readonly fault: ServiceFault;
      readonly forMs: number;
    }
  | {readonly kind: 'freeze'; readonly host: number; readonly forMs: number}
  | {readonly kind: 'cut'; readonly host: number; readonly forMs: number}
  | {readonly kind: 'kill'; readonly host: number}
  | {readonly kind: 'leave'; readonly host: number}
  | {readonly kind: 'restart'; readonly host: number}
  | {readonly kind: 'duplicate'; readonly forMs: number};

/** A schedule: each step comes a while after the one before. */
export type CallSchedule = readonly {
  readonly afterMs: number;
  readonly step: CallStep;
}[];

/** Hosts that a schedule speaks of. */
export const HOSTS = 3;
/** Keys that a schedule speaks of. */
export const KEYS = 4;

const host = fc.integer({min: 0, max: HOSTS - 1});
const forMs = fc.integer({min: 100, max: 6000});

const call = fc.record({
  kind: fc.constant('call' as const),
  host,
  key: fc.integer({min: 0, max: KEYS - 1}),
  async: fc.boolean(),
  timeoutMs: fc.constantFrom(300, 1500, 5000),
});

const faults = [
  fc.record({
    kind: fc.constant('table' as const),
    fault: fc.constantFrom(...Object.values(TableFault)),
    forMs,
  }),
  fc.record({kind: fc.constant('freeze' as const), host, forMs}),
  fc.record({kind: fc.constant('cut' as const), host, forMs}),
  fc.record({kind: fc.constant('duplicate' as const), forMs}),
  fc.record({kind: fc.constant('leave' as const), host}),
  fc.record({kind: fc.constant('restart' as const), host}),
];

/**
 * Schedules of calls and faults.
 * @param unannounced - Whether hosts may die without notice and back ends may
 *   lose calls; without it every departure is announced.
 */
export function createCallSchedules(
  unannounced: boolean,
): fc.Arbitrary<CallSchedule> {
  const kill = fc.record({kind: fc.constant('kill' as const), host});
  const service = fc.record({
    kind: fc.constant('service' as const),
    fault: unannounced
      ? fc.constantFrom(...Object.values(ServiceFault))
      : fc.constantFrom(ServiceFault.REFUSES, ServiceFault.ANSWER_LOST),
    forMs,
  });
  const step: fc.Arbitrary<CallStep> = fc.oneof(
    {weight: 10, arbitrary: call},
    ...faults.map(arbitrary => ({
      weight: 1,
      arbitrary: arbitrary as fc.Arbitrary<CallStep>,
    })),
    {weight: 1, arbitrary: service},
    ...(unannounced ? [{weight: 1, arbitrary: kill}] : []),
  );
  return fc.array(
    fc.record({afterMs: fc.constantFrom(0, 0, 10, 100, 900), step}),
    {minLength: 4, maxLength: 16},
  );
}

/** Schedules of calls and planned stops, with nothing else going wrong. */
export function createStopSchedules(): fc.Arbitrary<CallSchedule> {
  const restart = fc.record({kind: fc.constant('restart' as const), host});
  const step: fc.Arbitrary<CallStep> = fc.oneof(
    {weight: 5, arbitrary: call as fc.Arbitrary<CallStep>},
    {weight: 2, arbitrary: restart as fc.Arbitrary<CallStep>},
  );
  return fc.array(
    fc.record({afterMs: fc.constantFrom(0, 3, 10, 400, 2000), step}),
    {minLength: 3, maxLength: 14},
  );
}
