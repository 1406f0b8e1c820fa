import fc from 'fast-check';

/** Result of one run of one schedule. */
export interface RunReport {
  /** Violations of the promise; empty when it held. */
  readonly violations: readonly string[];
  /** Operations of callers or operators. */
  readonly operations: number;
  /** Number of injected faults. */
  readonly faults: number;
  /** Operations that succeeded. */
  readonly answered: number;
  /** Operations rejected and reported as not executed. */
  readonly refused: number;
  /** Operations whose outcome remained unknown. */
  readonly unknown: number;
}

/** A promise of the system and the property-based test that checks it. */
export interface Proof<Schedule> {
  /** Name of the promise in docs/PROMISES.md. */
  readonly name: string;
  /** Defect of the deliberately broken variant. */
  readonly variant: string;
  /** Generates schedules of operations and faults. */
  readonly schedules: fc.Arbitrary<Schedule>;
  /**
   * Runs a schedule and checks its history.
   * @param schedule - The schedule.
   * @param broken - Whether to run the broken variant.
   */
  readonly run: (schedule: Schedule, broken: boolean) => Promise<RunReport>;
}

/** Totals over all generated schedules of one promise. */
export interface ProofResult {
  readonly name: string;
  readonly histories: number;
  readonly operations: number;
  readonly faults: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  readonly violations: number;
  /** Shrunk schedule that violates the promise, as JSON; absent if none was found. */
  readonly counterexample?: string;
  /** Whether the broken variant was detected. */
  readonly variantCaught: boolean;
}

/** How many schedules to run, and with which seed. */
export interface ProofOptions {
  readonly seed: number;
  /** Number of histories per promise. */
  readonly histories: number;
  /** Number of histories within which the broken variant must be detected. */
  readonly variantHistories: number;
}

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
 * Checks a promise against generated schedules, then runs its broken variant to
 * show that the check detects a violation.
 * @param proof - The promise.
 * @param options - Seed and numbers of schedules.
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
