#!/usr/bin/env node
/** Program: compares the system's decisions with baseline policies; see docs/MEASUREMENTS.md. */
import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {cac} from 'cac';
import {formatLine} from '../log/index.js';
import {
  Figures,
  formatCurve,
  FULL_RATE_PER_S,
  listExperiments,
  measureProvisioning,
  measureRecording,
  measurePlaces,
  measureReuse,
  PolicyResult,
  runExperiment,
} from '../measure/index.js';

/** Command-line options. */
interface Options {
  readonly quick?: boolean;
  readonly plot?: string;
  readonly only?: string;
}

const QUICK_MS = 6000;
const FULL_MS = 9000;
/**
 * Durations of the reuse experiment. Runs on its emulated servers last longer, since subjects of
 * prompts recur within seconds.
 */
const QUICK_REUSE_MS = 20_000;
const FULL_REUSE_MS = 64_000;

const cli = cac('measure');
cli
  .command('', 'Compare the decisions of the system with baseline policies')
  .option('--quick', 'Shorter runs with one seed; ends within 45 s')
  .option('--plot <dir>', 'Write the curves as SVG files to this folder')
  .option('--only <name>', 'Run only experiments whose name starts with this')
  .action(run);
cli.help();
cli.parse();

async function run(options: Options): Promise<void> {
  const quick = options.quick === true;
  const durationMs = quick ? QUICK_MS : FULL_MS;
  const seeds = quick ? [1] : [1, 2, 3];
  const all: PolicyResult[] = [];
  for (const experiment of listExperiments(durationMs, quick)) {
    if (!experiment.name.startsWith(options.only ?? '')) {
      continue;
    }
    const results = await runExperiment(experiment, seeds, durationMs);
    for (const result of results) {
      print(formatResult(result, results[0] ?? result));
    }
    all.push(...results);
  }
  if ('reuse'.startsWith(options.only ?? '')) {
    const reuseDurationMs = quick ? QUICK_REUSE_MS : FULL_REUSE_MS;
    for (const line of await measureReuse(reuseDurationMs, seeds)) {
      print(formatLine(line));
    }
  }
  if ('places'.startsWith(options.only ?? '')) {
    for (const line of measurePlaces(seeds)) {
      print(formatLine(line));
    }
  }
  if (options.only === undefined) {
    for (const line of [
      ...measureProvisioning(),
      ...(await measureRecording()),
    ]) {
      print(formatLine(line));
    }
  }
  if (options.plot !== undefined) {
    await plot(options.plot, all);
  }
}

/** Formats the figures of a policy, and the ratios of the system's own figures to them. */
function formatResult(result: PolicyResult, product: PolicyResult): string {
  const {experiment, policy, runs} = result;
  const mean = (pick: (figures: Figures) => number) => average(runs.map(pick));
  const productMean = (pick: (figures: Figures) => number) =>
    average(product.runs.map(pick));
  const share = (figures: Figures) =>
    figures.inTime / Math.max(1, figures.requests);
  const spread = Math.max(...runs.map(share)) - Math.min(...runs.map(share));
  const otherCustomersMean = (figures: Figures) => {
    const shares = [...figures.inTimeByCustomer].filter(
      ([name]) => name !== 'large-1',
    );
    return average(shares.map(([, value]) => value));
  };
  return formatLine({
    experiment: experiment.name,
    users: experiment.profile.name,
    policy: policy.name,
    seeds: runs.length,
    requests: Math.round(mean(f => f.requests)),
    in_time: mean(share).toFixed(3),
    in_time_spread: spread.toFixed(3),
    others_in_time: mean(otherCustomersMean).toFixed(3),
    first_token_p95_ms: Math.round(mean(f => f.firstTokenP95Ms)),
    between_p95_ms: Math.round(mean(f => f.betweenTokensP95Ms)),
    recomputed: Math.round(mean(f => f.recomputedTokens)),
    hit_share: mean(f => f.hitShare).toFixed(3),
    goodput: mean(f => f.goodput).toFixed(1),
    refused: Math.round(mean(f => f.refused)),
    failed: Math.round(mean(f => f.failed)),
    ours_to_this_first_token: formatRatio(
      productMean(f => f.firstTokenP95Ms),
      mean(f => f.firstTokenP95Ms),
    ),
    ours_to_this_recomputed: formatRatio(
      productMean(f => f.recomputedTokens),
      mean(f => f.recomputedTokens),
    ),
    ours_to_this_goodput: formatRatio(
      productMean(f => f.goodput),
      mean(f => f.goodput),
    ),
    recovered_after_s:
      experiment.name === 'recovery' ? getRecoverySeconds(result) : undefined,
  });
}

/**
 * Returns the mean number of seconds from the end of the overload until goodput reaches 80 % of
 * the offered load.
 */
function getRecoverySeconds(result: PolicyResult): number {
  const {runs, experiment} = result;
  const offeredPerSecond = (FULL_RATE_PER_S[experiment.profile.name] ?? 1) / 2;
  const seconds = runs.map(figures => {
    const {timeline} = figures;
    const overloadEndSecond = Math.round(timeline.length / 3);
    const recoveredSecond = timeline.findIndex(
      (count, second) =>
        second >= overloadEndSecond && count >= offeredPerSecond * 0.8,
    );
    return recoveredSecond < 0
      ? timeline.length - overloadEndSecond
      : recoveredSecond - overloadEndSecond;
  });
  return average(seconds);
}

function average(values: readonly number[]): number {
  return (
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
  );
}

function formatRatio(productValue: number, policyValue: number): string {
  return policyValue === 0
    ? productValue === 0
      ? '1.00'
      : 'inf'
    : (productValue / policyValue).toFixed(2);
}

async function plot(
  folder: string,
  results: readonly PolicyResult[],
): Promise<void> {
  await mkdir(folder, {recursive: true});
  for (const users of ['guild', 'casillas']) {
    const curves = ['sedgefall', 'no-admission'].map(name => ({
      name,
      points: results
        .filter(
          result =>
            result.experiment.profile.name === users &&
            result.policy.name === name &&
            result.experiment.name.startsWith('offered-'),
        )
        .map(result => ({
          x: Number(result.experiment.name.slice('offered-'.length)),
          y: average(result.runs.map(figures => figures.goodput)),
        })),
    }));
    const svg = formatCurve(
      `Goodput against offered load, ${users}`,
      'offered load, in multiples of capacity',
      'answers in time per second',
      curves,
    );
    await writeFile(join(folder, `goodput-${users}.svg`), svg);
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
