#!/usr/bin/env node
/** Program: proves the promises by generated histories; see docs/PROMISES.md. */
import {cac} from 'cac';
import {formatLine} from '../log/index.js';
import {PROOFS, ProofResult, reportRates} from '../prove/index.js';

/** Options of the program, as the command line gives them. */
interface Options {
  readonly seed?: number;
  readonly histories: number;
  readonly only?: string;
  readonly rates?: boolean;
}

const VARIANT_HISTORIES = 2000;
const MAX_SEED = 0x7fffffff;

const cli = cac('prove');
cli
  .command('', 'Run every promise against generated faults')
  .option('--seed <n>', 'Seed of the schedules; a random one is printed')
  .option('--histories <n>', 'Histories per promise', {default: 300})
  .option('--only <name>', 'Run one promise only')
  .option('--rates', 'Also report what callers are told under each fault')
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
  const caught = results.filter(result => result.variantCaught).length;
  print(
    `prove promises=${results.length} violations=${violations} variants_caught=${caught}/${results.length}`,
  );
  process.exitCode = violations > 0 || caught < results.length ? 1 : 0;
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
    const share = (part: number) => (part / Math.max(1, rate.calls)).toFixed(3);
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
