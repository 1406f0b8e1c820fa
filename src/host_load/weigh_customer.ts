import {Account} from '../catalog/index.js';

/** A customer with the weight of its share of this host's requests. */
export interface WeightedCustomer {
  readonly name: string;
  readonly weight: number;
}

/**
 * Returns the weight of a customer's share, which is its rate: a customer that pays for
 * more requests may send more of them. Returns `undefined` for a customer without a rate,
 * which has no share to exceed.
 */
export function weighCustomer({
  name,
  rate,
}: Account): WeightedCustomer | undefined {
  if (rate.perSecond <= 0) {
    return undefined;
  }
  const unitsPerRequest = rate.inTokens ? Math.max(1, rate.plainTokens) : 1;
  return {name, weight: rate.perSecond / unitsPerRequest};
}
