/**
 * Versions of a table that may be restored from a copy. Its numbers then go back and are
 * given out again, so a version also contains the era of the table: the number of times
 * that it was restored. Versions of a later era are higher than all of an earlier one.
 */

/** Versions of one era; a table gives out fewer between two restorations. */
const VERSIONS_PER_ERA = 1e12;
/** Highest era, so that every version is an exact integer. */
export const MAX_ERA =
  Math.floor(Number.MAX_SAFE_INTEGER / VERSIONS_PER_ERA) - 1;

/**
 * Creates a version.
 * @param era - The era, from 0 to `MAX_ERA`.
 * @param number - The number that the table gave out.
 */
export function createVersion(era: number, number: number): number {
  return era * VERSIONS_PER_ERA + number;
}

/** Returns the era of a version. */
export function getVersionEra(version: number): number {
  return Math.floor(version / VERSIONS_PER_ERA);
}

/** Returns the number that the table gave out for a version. */
export function getVersionNumber(version: number): number {
  return version % VERSIONS_PER_ERA;
}
