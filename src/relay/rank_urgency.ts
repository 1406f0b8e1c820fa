import {RelayRequest} from './relay_request.js';

/** Ranks of routes that an engine tells apart within one rank of customers. */
const ROUTE_RANKS = 3;
/** Least urgent rank that engines know; 0 is the most urgent. */
const MAX_RANK = 9;

/** Returns a request's rank at its server: the customer's before the route's. */
export function rankUrgency({account, route}: RelayRequest): number {
  const customer = account?.urgency ?? 0;
  const rank =
    customer * ROUTE_RANKS + Math.min(route.urgency, ROUTE_RANKS - 1);
  return Math.min(MAX_RANK, rank);
}
