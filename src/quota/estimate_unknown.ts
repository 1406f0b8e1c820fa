import {PastSpending} from './spending_history.js';

/**
 * Time for which spending is assumed to have continued, in milliseconds: about the age of
 * stored spending when all hosts are killed. More would count time without any host.
 */
const MAX_UNKNOWN_MS = 1000;
/** Time over which the rate of the last known spending is measured, in milliseconds. */
const RATE_MS = 1000;

/**
 * Estimates what was spent after the last known spending, at the same rate.
 * @returns One entry; none if nothing is known.
 */
export function estimateUnknown(
  spending: readonly PastSpending[],
): PastSpending[] {
  if (spending.length === 0) {
    return [];
  }
  const lastMs = Math.min(...spending.map(({agoMs}) => agoMs));
  const unknownMs = Math.min(lastMs, MAX_UNKNOWN_MS);
  const units = spending
    .filter(({agoMs}) => agoMs < lastMs + RATE_MS)
    .reduce((sum, past) => sum + past.units, 0);
  const agoMs = lastMs - unknownMs;
  return [{agoMs, units: (units * unknownMs) / RATE_MS}];
}
