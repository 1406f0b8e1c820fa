import fc from 'fast-check';

/** One step of a schedule of generations and faults. */
export type StreamStep =
  | {
      readonly kind: 'generate';
      readonly prompt: number;
      readonly tokens: number;
    }
  | {readonly kind: 'reattach'; readonly reading: number}
  | {
      readonly kind: 'reclaim';
      readonly engine: number;
      readonly noticeMs: number;
    }
  | {
      /** Breaks off or stalls the engine's next stream, or corrupts one of its tokens. */
      readonly kind: 'break' | 'silence' | 'cross' | 'double' | 'skip';
      readonly engine: number;
    };

/** Steps in order; `afterMs` is the delay since the previous step. */
export type StreamSchedule = readonly {
  readonly afterMs: number;
  readonly step: StreamStep;
}[];

const engine = fc.integer({min: 0, max: 2});

/**
 * Generates schedules of generations and faults.
 * @param announcedOnly - Whether reclaims with notice are the only faults.
 */
export function createStreamSchedules(
  announcedOnly: boolean,
): fc.Arbitrary<StreamSchedule> {
  const generate = fc.record({
    kind: fc.constant('generate' as const),
    prompt: fc.integer({min: 0, max: 3}),
    tokens: fc.integer({min: 1, max: 300}),
  });
  const reattach = fc.record({
    kind: fc.constant('reattach' as const),
    reading: fc.integer({min: 0, max: 7}),
  });
  const reclaim = fc.record({
    kind: fc.constant('reclaim' as const),
    engine,
    noticeMs: fc.constantFrom(0, 300, 1000, 3000),
  });
  const streamFault = fc.record({
    kind: fc.constantFrom(
      'break' as const,
      'silence' as const,
      'cross' as const,
      'double' as const,
      'skip' as const,
    ),
    engine,
  });
  const step: fc.Arbitrary<StreamStep> = fc.oneof(
    {weight: 5, arbitrary: generate as fc.Arbitrary<StreamStep>},
    {weight: 2, arbitrary: reattach as fc.Arbitrary<StreamStep>},
    {weight: 2, arbitrary: reclaim as fc.Arbitrary<StreamStep>},
    ...(announcedOnly
      ? []
      : [{weight: 4, arbitrary: streamFault as fc.Arbitrary<StreamStep>}]),
  );
  return fc.array(
    fc.record({afterMs: fc.constantFrom(0, 20, 200, 1000), step}),
    {minLength: 3, maxLength: 12},
  );
}
