#!/usr/bin/env node
/** Program: measures the decisions against baselines; see docs/MEASUREMENTS.md. */
import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {cac} from 'cac';
import {formatLine} from '../log/index.js';
import {
  Figures,
  formatCurve,
  FULL_RATE,
  listExperiments,
  measureBuying,
  measureRecording,
  measureReuse,
  PolicyResult,
  runExperiment,
} from '../measure/index.js';

/** Options of the program, as the command line gives them. */
interface Options {
  readonly quick?: boolean;
  readonly plot?: string;
  readonly only?: string;
}

const QUICK_MS = 6000;
const FULL_MS = 9000;
/** Runs on emulated servers last longer: subjects return within seconds. */
const QUICK_REUSE_MS = 20_000;
const FULL_REUSE_MS = 64_000;

const cli = cac('measure');
cli
  .command('', 'Compare the decisions with baselines')
  .option('--quick', 'Shorter runs, one seed; ends in 45 s')
  .option('--plot <dir>', 'Write the curves as SVG')
  .option('--only <name>', 'Experiments whose name begins like this')
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
    const lastsMs = quick ? QUICK_REUSE_MS : FULL_REUSE_MS;
    for (const line of await measureReuse(lastsMs, seeds)) {
      print(formatLine(line));
    }
  }
  if (options.only === undefined) {
    for (const line of [...measureBuying(), ...(await measureRecording())]) {
      print(formatLine(line));
    }
  }
  if (options.plot !== undefined) {
    await plot(options.plot, all);
  }
}

/** A line of figures, with the ratio of the product's own to this policy's. */
function formatResult(result: PolicyResult, ours: PolicyResult): string {
  const {experiment, policy, runs} = result;
  const mean = (pick: (figures: Figures) => number) => average(runs.map(pick));
  const own = (pick: (figures: Figures) => number) =>
    average(ours.runs.map(pick));
  const share = (figures: Figures) =>
    figures.inTime / Math.max(1, figures.requests);
  const spread = Math.max(...runs.map(share)) - Math.min(...runs.map(share));
  const others = (figures: Figures) => {
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
    others_in_time: mean(others).toFixed(3),
    first_token_p95_ms: Math.round(mean(f => f.firstTokenP95Ms)),
    between_p95_ms: Math.round(mean(f => f.betweenTokensP95Ms)),
    recomputed: Math.round(mean(f => f.recomputedTokens)),
    hit_share: mean(f => f.hitShare).toFixed(3),
    goodput: mean(f => f.goodput).toFixed(1),
    refused: Math.round(mean(f => f.refused)),
    failed: Math.round(mean(f => f.failed)),
    ours_to_this_first_token: ratio(
      own(f => f.firstTokenP95Ms),
      mean(f => f.firstTokenP95Ms),
    ),
    ours_to_this_recomputed: ratio(
      own(f => f.recomputedTokens),
      mean(f => f.recomputedTokens),
    ),
    ours_to_this_goodput: ratio(
      own(f => f.goodput),
      mean(f => f.goodput),
    ),
    recovered_after_s:
      experiment.name === 'recovery' ? getRecovery(result) : undefined,
  });
}

/** Seconds after the overload until goodput is back at the offered load. */
function getRecovery(result: PolicyResult): number {
  const {runs, experiment} = result;
  const offered = (FULL_RATE[experiment.profile.name] ?? 1) / 2;
  const seconds = runs.map(figures => {
    const {timeline} = figures;
    const end = Math.round(timeline.length / 3);
    const back = timeline.findIndex(
      (count, second) => second >= end && count >= offered * 0.8,
    );
    return back < 0 ? timeline.length - end : back - end;
  });
  return average(seconds);
}

function average(values: readonly number[]): number {
  return (
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
  );
}

function ratio(ours: number, theirs: number): string {
  return theirs === 0
    ? ours === 0
      ? '1.00'
      : 'inf'
    : (ours / theirs).toFixed(2);
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
      'offered load, times capacity',
      'answers in time per second',
      curves,
    );
    await writeFile(join(folder, `goodput-${users}.svg`), svg);
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
