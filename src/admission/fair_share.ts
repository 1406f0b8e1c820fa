/** Number of in-flight requests of one customer. */
export interface CustomerUsage {
  readonly customer: string;
  readonly inFlight: number;
}

/** Weights of customers by name; customers that are absent have a weight of 1. */
export type Weights = ReadonlyMap<string, {readonly weight: number}>;

/**
 * Computes how many requests a customer may have in flight by weighted max-min
 * fairness: capacity that some customers leave unused is divided among those
 * that need more.
 * @param customer - The customer.
 * @param customers - All customers, for their weights.
 * @param usage - Requests in flight of every active customer.
 * @param capacity - Maximum number of requests in flight in total.
 */
export function getFairShare(
  customer: string,
  customers: Weights,
  usage: readonly CustomerUsage[],
  capacity: number,
): number {
  const active = new Map<string, number>();
  for (const entry of usage) {
    active.set(entry.customer, entry.inFlight);
  }
  active.set(customer, Number.POSITIVE_INFINITY);
  let remaining = capacity;
  let unsatisfied = [...active.keys()];
  for (;;) {
    const weightSum = sumWeights(unsatisfied, customers);
    const perWeight = remaining / Math.max(weightSum, Number.EPSILON);
    const satisfied = unsatisfied.filter(
      name => (active.get(name) ?? 0) <= perWeight * getWeight(name, customers),
    );
    if (satisfied.length === 0) {
      return perWeight * getWeight(customer, customers);
    }
    for (const name of satisfied) {
      remaining -= active.get(name) ?? 0;
    }
    unsatisfied = unsatisfied.filter(name => !satisfied.includes(name));
  }
}

function sumWeights(names: readonly string[], customers: Weights): number {
  let sum = 0;
  for (const name of names) {
    sum += getWeight(name, customers);
  }
  return sum;
}

function getWeight(name: string, customers: Weights): number {
  return customers.get(name)?.weight ?? 1;
}
