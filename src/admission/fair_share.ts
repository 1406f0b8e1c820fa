import {Customer} from '../configuration/index.js';

/** Requests in flight of one customer, on this host and on its peers. */
export interface CustomerUsage {
  readonly customer: string;
  readonly inFlight: number;
}

/**
 * Works out how many requests a customer may have in flight at once (weighted
 * max-min fairness): what others leave unused is shared by those who want more.
 * @param customer - The customer.
 * @param customers - All customers, for their weights.
 * @param usage - Use of every customer that has requests in flight.
 * @param capacity - Requests that can be in flight at once in all.
 */
export function getFairShare(
  customer: string,
  customers: ReadonlyMap<string, Customer>,
  usage: readonly CustomerUsage[],
  capacity: number,
): number {
  const active = new Map<string, number>();
  for (const entry of usage) {
    active.set(entry.customer, entry.inFlight);
  }
  active.set(customer, Number.POSITIVE_INFINITY);
  let left = capacity;
  let wanting = [...active.keys()];
  for (;;) {
    const weightSum = sumWeights(wanting, customers);
    const perWeight = left / Math.max(weightSum, Number.EPSILON);
    const content = wanting.filter(
      name => (active.get(name) ?? 0) <= perWeight * getWeight(name, customers),
    );
    if (content.length === 0) {
      return perWeight * getWeight(customer, customers);
    }
    for (const name of content) {
      left -= active.get(name) ?? 0;
    }
    wanting = wanting.filter(name => !content.includes(name));
  }
}

function sumWeights(
  names: readonly string[],
  customers: ReadonlyMap<string, Customer>,
): number {
  let sum = 0;
  for (const name of names) {
    sum += getWeight(name, customers);
  }
  return sum;
}

function getWeight(
  name: string,
  customers: ReadonlyMap<string, Customer>,
): number {
  return customers.get(name)?.weight ?? 1;
}
