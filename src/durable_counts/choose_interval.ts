/**
 * Calls to the table that the counts may cost, per host and second: half of what all calls
 * of a host may cost.
 */
const CALLS_PER_HOST_AND_SECOND = 0.1;
/**
 * Shortest interval, in milliseconds. Hosts report their counts to the writer every 0.4 s,
 * so that a shorter interval would store little more.
 */
const MIN_INTERVAL_MS = 500;
/**
 * Longest interval, in milliseconds: what is lost of a window of 5 s when all hosts are
 * killed stays below a half.
 */
const MAX_INTERVAL_MS = 2000;
const MS_PER_SECOND = 1000;

/**
 * Returns the interval between writes of one writer, in milliseconds.
 * @param hosts - Number of all hosts, which bear the cost together.
 * @param writers - Number of hosts that write.
 */
export function chooseInterval(hosts: number, writers: number): number {
  const perSecond = (CALLS_PER_HOST_AND_SECOND * hosts) / Math.max(1, writers);
  const ms = MS_PER_SECOND / Math.max(perSecond, 1e-9);
  return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, ms));
}
