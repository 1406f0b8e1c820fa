import {z} from 'zod';
import {SUM_COUNT} from './linear_fit.js';
import {ModelSums, SumTable} from './model_sums.js';

/** Maximum number of services, routes and servers in a section. */
const MAX_SERVICES = 256;
const MAX_ROUTES = 1024;
const MAX_SERVERS = 4096;
/** Factor by which sums are multiplied before they are rounded, for short messages. */
const SCALE = 100;
/** Longest plausible mean time to a first byte, in milliseconds. */
const MAX_MEAN_MS = 60_000;
/** Longest plausible mean prompt, in thousands of tokens. */
const MAX_MEAN_KTOKENS = 2000;
/** Largest plausible lateness, as a share of the expected time. */
const MAX_MEAN_SHARE = 3.1;
/** Largest plausible weight: 14,000 requests a second for the half-life of a service. */
const MAX_WEIGHT = 1_000_000;

const name = z.string().min(1).max(400);
const value = z.number().min(-Number.MAX_SAFE_INTEGER);

/** Section of a message with the sums of the sender's observations of servers. */
export const modelSectionSchema = z.object({
  services: z
    .array(z.tuple([name, z.array(value).length(SUM_COUNT)]))
    .max(MAX_SERVICES),
  /** Service and route, count, and sum of logarithms. */
  routes: z.array(z.tuple([name, value, value])).max(MAX_ROUTES),
  /** Key of a server, expected and actual milliseconds. */
  servers: z.array(z.tuple([name, value, value])).max(MAX_SERVERS),
  /** Key of a server, count of its most recent answers, and sum of their late shares. */
  late: z.array(z.tuple([name, value, value])).max(MAX_SERVERS),
});
export type ModelSection = z.output<typeof modelSectionSchema>;

/** Creates a section; `undefined` if there is nothing to state. */
export function createModelSection(sums: ModelSums): ModelSection | undefined {
  const {services, routes, servers, late} = sums;
  if (services.size + routes.size + servers.size + late.size === 0) {
    return undefined;
  }
  return {
    services: [...services].map(([key, values]) => [
      key,
      values.map(sum => Math.round(sum * SCALE)),
    ]),
    routes: [...routes].map(([key, [count = 0, logs = 0]]) => [
      key,
      Math.round(count * SCALE),
      Math.round(logs * SCALE),
    ]),
    servers: [...servers].map(([key, [expected = 0, actual = 0]]) => [
      key,
      Math.round(expected),
      Math.round(actual),
    ]),
    late: [...late].map(([key, [count = 0, shares = 0]]) => [
      key,
      Math.round(count * SCALE),
      Math.round(shares * SCALE),
    ]),
  };
}

/** Sums that were read from a section. */
export interface ReadModelSection {
  readonly sums: ModelSums;
  /** Number of entries that were ignored because their values are implausible. */
  readonly ignored: number;
}

/** Reads a section; ignores entries with implausible values. */
export function readModelSection(section: ModelSection): ReadModelSection {
  const services = filter(
    section.services.map(([key, values]) => [
      key,
      values.map(sum => sum / SCALE),
    ]),
    isPlausibleFit,
  );
  const routes = filter(
    section.routes.map(([key, count, logs]) => [
      key,
      [count / SCALE, logs / SCALE],
    ]),
    ([count = 0, logs = 0]) =>
      isPlausibleMean(logs, count, Math.log(MAX_MEAN_MS)),
  );
  const servers = filter(
    section.servers.map(([key, ...times]) => [key, times]),
    ([expected = 0, actual = 0]) =>
      expected > 0 && actual >= 0 && expected <= MAX_WEIGHT * MAX_MEAN_MS,
  );
  const late = filter(
    section.late.map(([key, count, shares]) => [
      key,
      [count / SCALE, shares / SCALE],
    ]),
    ([count = 0, shares = 0]) => isPlausibleMean(shares, count, MAX_MEAN_SHARE),
  );
  const sums = {services, routes, servers, late};
  const listed =
    section.services.length +
    section.routes.length +
    section.servers.length +
    section.late.length;
  const read = services.size + routes.size + servers.size + late.size;
  return {sums, ignored: listed - read};
}

function filter(
  entries: readonly (readonly [string, readonly number[]])[],
  isPlausible: (values: readonly number[]) => boolean,
): SumTable {
  return new Map(entries.filter(([, values]) => isPlausible(values)));
}

/** Checks the means of the features and of the times in the sums of a fit. */
function isPlausibleFit(sums: readonly number[]): boolean {
  const [weight = 0, own = 0, ahead = 0, occupancy = 0] = sums;
  const times = sums[SUM_COUNT - 4] ?? 0;
  const squares = [sums[4] ?? 0, sums[7] ?? 0, sums[9] ?? 0];
  return (
    isPlausibleMean(own, weight, MAX_MEAN_KTOKENS) &&
    isPlausibleMean(ahead, weight, MAX_MEAN_KTOKENS) &&
    isPlausibleMean(occupancy, weight, MAX_MEAN_KTOKENS) &&
    isPlausibleMean(times, weight, MAX_MEAN_MS) &&
    squares.every(square => square >= 0)
  );
}

function isPlausibleMean(sum: number, weight: number, max: number): boolean {
  return weight > 0 && weight <= MAX_WEIGHT && sum >= 0 && sum / weight <= max;
}
