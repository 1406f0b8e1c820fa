import {RelayRequest} from './relay_request.js';

/** Route ranks that are distinguished within one customer rank. */
const ROUTE_RANKS = 3;
/** Least urgent rank that engines support; 0 is the most urgent. */
const MAX_RANK = 9;

/**
 * Returns the rank of a request at its server, ordered by the urgency of the customer,
 * then of the route.
 */
export function rankUrgency({account, route}: RelayRequest): number {
  const customer = account?.urgency ?? 0;
  const rank =
    customer * ROUTE_RANKS + Math.min(route.urgency, ROUTE_RANKS - 1);
  return Math.min(MAX_RANK, rank);
}
