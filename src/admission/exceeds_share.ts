/**
 * Excess over its share from which a customer counts as over it, in multiples of the square
 * root of the share. That root is about how much the requests in flight of a customer that
 * stays within its share vary by chance; a customer within its share is seldom two above.
 */
const TOLERATED_ROOTS = 2;

/**
 * Returns whether a customer uses more than its share, beyond chance.
 * @param inFlight - Requests of the customer in flight, with the one to decide on.
 * @param share - Fair number of its requests in flight.
 */
export function exceedsShare(inFlight: number, share: number): boolean {
  return inFlight > share + TOLERATED_ROOTS * Math.sqrt(share);
}
