import {z} from 'zod';
import {PastSpending} from '../quota/index.js';
import {WindowUsage} from '../usage/index.js';

/** Counts of one origin, by window. */
export type OriginUsage = readonly [
  origin: string,
  usages: readonly WindowUsage[],
];

/** What one host knows of usage and spending. */
export interface Counts {
  readonly usage: readonly OriginUsage[];
  readonly spending: ReadonlyMap<string, readonly PastSpending[]>;
}

/** A row with what one host knew when it wrote the row. */
export interface CountsRow extends Counts {
  /** Time of the table's clock at which the row was written, in milliseconds. */
  readonly writtenMs: number;
}

/**
 * Maximum length of a row, in bytes. The platform allows 65,536; the rest is for its
 * encoding of the row.
 */
export const MAX_ROW_BYTES = 60_000;

/** Length of the slices of time in which spending is stored, in milliseconds. */
const SLICE_MS = 1000;

const countSchema = z.number().int().min(0);
const rowSchema = z.object({
  writtenMs: z.number(),
  /** Names to which the other members refer by index. */
  customers: z.array(z.string()),
  usage: z.array(
    z.tuple([
      z.string(),
      z.array(
        z.tuple([countSchema, z.array(z.tuple([countSchema, countSchema]))]),
      ),
    ]),
  ),
  spending: z.array(
    z.tuple([countSchema, z.array(z.tuple([z.number().min(0), countSchema]))]),
  ),
});

type EncodedRow = z.input<typeof rowSchema>;

/** An encoded row, and how many origins did not fit. */
export interface Encoding {
  readonly value: EncodedRow;
  readonly bytes: number;
  readonly omitted: number;
}

/**
 * Encodes a row. Of usage, the first origins that fit are included.
 * @param counts - The origins that matter most first.
 */
export function encodeCounts(
  {usage, spending}: Counts,
  writtenMs: number,
): Encoding {
  const customers: string[] = [];
  const indexes = new Map<string, number>();
  const getIndex = (customer: string) => {
    const index = indexes.get(customer) ?? customers.push(customer) - 1;
    indexes.set(customer, index);
    return index;
  };
  const value: EncodedRow = {
    writtenMs: Math.round(writtenMs),
    customers,
    usage: [],
    spending: [],
  };
  for (const [customer, past] of spending) {
    if (past.length > 0) {
      value.spending.push([getIndex(customer), sumBySlice(past)]);
    }
  }
  let omitted = 0;
  for (const [origin, usages] of usage) {
    value.usage.push([
      origin,
      usages.map(({window, counts}) => [
        window,
        Object.entries(counts).map(([customer, count]) => [
          getIndex(customer),
          count,
        ]),
      ]),
    ]);
  }
  let bytes = measure(value);
  while (bytes > MAX_ROW_BYTES && value.usage.length > 0) {
    const excess = (bytes - MAX_ROW_BYTES) / bytes;
    const dropped = Math.ceil(value.usage.length * excess);
    value.usage.splice(value.usage.length - dropped);
    omitted += dropped;
    bytes = measure(value);
  }
  return {value, bytes, omitted};
}

/** Decodes a row; `undefined` if it is not valid. */
export function decodeCounts(value: unknown): CountsRow | undefined {
  const parsed = rowSchema.safeParse(value);
  if (!parsed.success || !refersToCustomers(parsed.data)) {
    return undefined;
  }
  const {writtenMs, customers, usage, spending} = parsed.data;
  const getName = (index: number) => customers[index] ?? '';
  return {
    writtenMs,
    usage: usage.map(([origin, usages]) => [
      origin,
      usages.map(([window, counts]) => ({
        window,
        counts: Object.fromEntries(
          counts.map(([customer, count]) => [getName(customer), count]),
        ),
      })),
    ]),
    spending: new Map(
      spending.map(([customer, slices]) => [
        getName(customer),
        slices.map(([agoMs, units]) => ({agoMs, units})),
      ]),
    ),
  };
}

/** Returns whether every index refers to a customer of the row. */
function refersToCustomers({
  customers,
  usage,
  spending,
}: z.output<typeof rowSchema>): boolean {
  const indexes = [
    ...spending.map(([index]) => index),
    ...usage.flatMap(([, usages]) =>
      usages.flatMap(([, counts]) => counts.map(([index]) => index)),
    ),
  ];
  return indexes.every(index => index < customers.length);
}

/** Sums spending by slices of time, the oldest first. */
function sumBySlice(past: readonly PastSpending[]): [number, number][] {
  const sums = new Map<number, number>();
  for (const {agoMs, units} of past) {
    const sliceMs = Math.floor(agoMs / SLICE_MS) * SLICE_MS;
    sums.set(sliceMs, (sums.get(sliceMs) ?? 0) + units);
  }
  return [...sums].map(([agoMs, units]) => [agoMs, Math.round(units)]);
}

function measure(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
