import fc from 'fast-check';
import {TableFault} from './faulty_table.js';

/** Number of entry hosts. */
export const HOST_COUNT = 4;

/** One step of a schedule of changes and faults. */
export type ConfigurationStep =
  | {
      readonly kind: 'change';
      readonly host: number;
      readonly record: number;
      /** Schema version of the written record. */
      readonly version: number;
    }
  | {
      readonly kind: 'table';
      readonly fault: TableFault;
      readonly forMs: number;
    }
  | {
      readonly kind: 'cut' | 'freeze';
      readonly host: number;
      readonly forMs: number;
    }
  | {readonly kind: 'restart'; readonly host: number}
  | {readonly kind: 'slow-peers'; readonly forMs: number};

/** Steps in order; `afterMs` is the delay since the previous step. */
export type ConfigurationSchedule = readonly {
  readonly afterMs: number;
  readonly step: ConfigurationStep;
}[];

const host = fc.integer({min: 0, max: HOST_COUNT - 1});
const forMs = fc.integer({min: 100, max: 6000});
const steps: fc.Arbitrary<ConfigurationStep> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('change' as const),
      host,
      record: fc.integer({min: 0, max: 1}),
      version: fc.constantFrom(1, 2),
    }) as fc.Arbitrary<ConfigurationStep>,
  },
  fc.record({
    kind: fc.constant('table' as const),
    fault: fc.constantFrom(...Object.values(TableFault)),
    forMs,
  }) as fc.Arbitrary<ConfigurationStep>,
  fc.record({
    kind: fc.constantFrom('cut' as const, 'freeze' as const),
    host,
    forMs,
  }) as fc.Arbitrary<ConfigurationStep>,
  fc.record({
    kind: fc.constant('restart' as const),
    host,
  }) as fc.Arbitrary<ConfigurationStep>,
  fc.record({
    kind: fc.constant('slow-peers' as const),
    forMs,
  }) as fc.Arbitrary<ConfigurationStep>,
);

/** Generates schedules of configuration changes and faults. */
export const configurationSchedules: fc.Arbitrary<ConfigurationSchedule> =
  fc.array(
    fc.record({afterMs: fc.constantFrom(0, 10, 300, 1500), step: steps}),
    {minLength: 4, maxLength: 14},
  );
