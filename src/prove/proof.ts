import fc from 'fast-check';

/** What one run of one schedule came to. */
export interface RunReport {
  /** What broke the promise; empty when it held. */
  readonly violations: readonly string[];
  /** Operations of callers or operators. */
  readonly operations: number;
  /** Faults that took effect. */
  readonly faults: number;
  /** Operations that were answered as asked. */
  readonly answered: number;
  /** Operations refused with the assurance that they did not run. */
  readonly refused: number;
  /** Operations whose outcome stayed unknown. */
  readonly unknown: number;
}

/** A promise of the system and how it is proved. */
export interface Proof<Schedule> {
  /** Name of the promise, as docs/PROMISES.md uses it. */
  readonly name: string;
  /** What the broken variant does wrong. */
  readonly variant: string;
  /** Schedules of operations and faults. */
  readonly schedules: fc.Arbitrary<Schedule>;
  /**
   * Runs a schedule and checks its history.
   * @param schedule - The schedule.
   * @param broken - Whether to run the broken variant.
   */
  readonly run: (schedule: Schedule, broken: boolean) => Promise<RunReport>;
}

/** Result of many runs. */
export interface ProofResult {
  readonly name: string;
  readonly histories: number;
  readonly operations: number;
  readonly faults: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  readonly violations: number;
  /** Smallest schedule found that breaks the promise, if there is one. */
  readonly counterexample?: string;
  readonly variantCaught: boolean;
}

/** How to run proofs. */
export interface ProofOptions {
  readonly seed: number;
  /** Histories per promise. */
  readonly histories: number;
  /** Most histories in which the variant must be caught. */
  readonly variantHistories: number;
}

/** Totals over many runs. */
class Totals {
  operations = 0;
  faults = 0;
  answered = 0;
  refused = 0;
  unknown = 0;
  histories = 0;
  violations = 0;

  add(report: RunReport): void {
    this.histories++;
    this.operations += report.operations;
    this.faults += report.faults;
    this.answered += report.answered;
    this.refused += report.refused;
    this.unknown += report.unknown;
    this.violations += report.violations.length;
  }
}

/**
 * Runs a promise against generated schedules, then its broken variant, which
 * the checker must catch.
 * @param proof - The promise.
 * @param options - Seed and size.
 */
export async function prove<Schedule>(
  proof: Proof<Schedule>,
  options: ProofOptions,
): Promise<ProofResult> {
  const totals = new Totals();
  const {seed, histories, variantHistories} = options;
  const checked = await fc.check(
    fc.asyncProperty(proof.schedules, async schedule => {
      const report = await proof.run(schedule, false);
      totals.add(report);
      return report.violations.length === 0;
    }),
    {seed, numRuns: histories},
  );
  const broken = await fc.check(
    fc.asyncProperty(proof.schedules, async schedule => {
      const report = await proof.run(schedule, true);
      return report.violations.length === 0;
    }),
    {seed, numRuns: variantHistories, endOnFailure: true},
  );
  return {
    name: proof.name,
    histories: totals.histories,
    operations: totals.operations,
    faults: totals.faults,
    answered: totals.answered,
    refused: totals.refused,
    unknown: totals.unknown,
    violations: totals.violations,
    variantCaught: broken.failed,
    ...(checked.failed
      ? {counterexample: JSON.stringify(checked.counterexample)}
      : {}),
  };
}
