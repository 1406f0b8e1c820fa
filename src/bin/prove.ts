#!/usr/bin/env node
/** Program: checks the promises against generated histories; see docs/PROMISES.md. */
import {cac} from 'cac';
import {formatLine} from '../log/index.js';
import {PROOFS, ProofResult, reportRates} from '../prove/index.js';

/** Command-line options. */
interface Options {
  readonly seed?: number;
  readonly histories: number;
  readonly only?: string;
  readonly rates?: boolean;
}

/** Maximum number of histories in which the broken variant of a promise must be caught. */
const VARIANT_HISTORIES = 2000;
const MAX_SEED = 0x7fffffff;

const cli = cac('prove');
cli
  .command('', 'Check every promise against generated operations and faults')
  .option('--seed <n>', 'Seed of the schedules; random by default, and printed')
  .option('--histories <n>', 'Number of histories per promise', {default: 300})
  .option('--only <name>', 'Check only this promise')
  .option('--rates', 'Also report the outcomes of calls under each fault')
  .action(run);
cli.help();
cli.parse();

async function run(options: Options): Promise<void> {
  const seed = options.seed ?? Math.floor(Math.random() * MAX_SEED);
  print(`prove seed=${seed} histories=${options.histories}`);
  const results: ProofResult[] = [];
  for (const [name, runProof] of PROOFS) {
    if (options.only !== undefined && options.only !== name) {
      continue;
    }
    const startMs = performance.now();
    const result = await runProof({
      seed,
      histories: Number(options.histories),
      variantHistories: VARIANT_HISTORIES,
    });
    results.push(result);
    print(formatResult(result, performance.now() - startMs));
  }
  if (options.rates === true) {
    await printRates(seed);
  }
  const violations = results.reduce((sum, r) => sum + r.violations, 0);
  const caughtVariants = results.filter(result => result.variantCaught).length;
  print(
    `prove promises=${results.length} violations=${violations} variants_caught=${caughtVariants}/${results.length}`,
  );
  process.exitCode = violations > 0 || caughtVariants < results.length ? 1 : 0;
}

function formatResult(result: ProofResult, tookMs: number): string {
  const line = formatLine({
    promise: result.name,
    histories: result.histories,
    operations: result.operations,
    faults: result.faults,
    violations: result.violations,
    unknown: result.unknown,
    variant: result.variantCaught ? 'caught' : 'missed',
    answered: result.answered,
    refused: result.refused,
    took_s: (tookMs / 1000).toFixed(1),
  });
  return result.counterexample === undefined
    ? line
    : `${line}\ncounterexample ${result.counterexample}`;
}

async function printRates(seed: number): Promise<void> {
  for (const rate of await reportRates(seed, 200)) {
    const share = (count: number) =>
      (count / Math.max(1, rate.calls)).toFixed(3);
    print(
      formatLine({
        fault: rate.fault,
        calls: rate.calls,
        answered: share(rate.answered),
        refused: share(rate.refused),
        unknown: share(rate.unknown),
        nothing: share(rate.nothing),
      }),
    );
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
