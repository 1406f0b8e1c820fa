import {CustomerUsage, getFairShare, Weights} from './fair_share.js';

/**
 * Part of the places in use that is divided by demand. The rest is kept for customers
 * that use less than their part now and need more before the next report.
 */
const ALLOCATED_SHARE = 0.75;

/**
 * Returns how many places a customer may use while its service is contended. The places in
 * use are divided, not the slots of the servers: prompts can use up servers whose slots
 * are free. The result is at least the customer's part by weight, so that customers of
 * one size are never all over their shares.
 * @param customer - The customer.
 * @param weights - Weights by customer; 1 for others.
 * @param usage - Requests in flight of every active customer, over all hosts.
 */
export function getPlaceShare(
  customer: string,
  weights: Weights,
  usage: readonly CustomerUsage[],
): number {
  let inUse = 0;
  let weightSum = 0;
  for (const entry of usage) {
    inUse += entry.inFlight;
    weightSum += weights.get(entry.customer)?.weight ?? 1;
  }
  const fair = getFairShare(customer, weights, usage, inUse * ALLOCATED_SHARE);
  const weight = weights.get(customer)?.weight ?? 1;
  return Math.max(fair, (inUse * weight) / Math.max(weightSum, weight));
}
