import fc from 'fast-check';
import {TableFault} from './faulty_table.js';

/** Injected faults of the back end. */
export const ServiceFault = {
  NONE: 'none',
  /** Connections are refused: nothing is sent. */
  REFUSES: 'refuses',
  /** The call runs; the answer is lost. */
  ANSWER_LOST: 'answer-lost',
  /** The call never runs, but the sender cannot tell whether it was received. */
  CALL_LOST: 'call-lost',
  /** The call runs long after the sender has stopped waiting for it. */
  DELAYED: 'late',
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

/** Steps in order; `afterMs` is the delay since the previous step. */
export type CallSchedule = readonly {
  readonly afterMs: number;
  readonly step: CallStep;
}[];

/** Number of hosts that a schedule refers to. */
export const HOST_COUNT = 3;
/** Number of idempotency keys that a schedule uses. */
export const KEY_COUNT = 4;

const host = fc.integer({min: 0, max: HOST_COUNT - 1});
const forMs = fc.integer({min: 100, max: 6000});

const call = fc.record({
  kind: fc.constant('call' as const),
  host,
  key: fc.integer({min: 0, max: KEY_COUNT - 1}),
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
 * Generates schedules of calls and faults.
 * @param unannounced - Whether hosts may crash without notice and the back end
 *   may lose or delay calls; if false, every shutdown of a host is announced.
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

/** Generates schedules of calls and planned restarts, without any fault. */
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
