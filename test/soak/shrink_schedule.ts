import {Schedule} from './schedule.js';

/**
 * Removes faults from a schedule while it still fails: halves first, then ever smaller
 * parts.
 * @param schedule - A schedule that fails.
 * @param fails - Runs a schedule; returns whether it fails.
 * @returns A schedule that failed, and from which no part that was tried could be removed.
 */
export async function shrinkSchedule(
  schedule: Schedule,
  fails: (schedule: Schedule) => Promise<boolean>,
): Promise<Schedule> {
  let smallest = schedule;
  let chunkSize = Math.ceil(schedule.faults.length / 2);
  while (chunkSize >= 1) {
    let start = 0;
    while (start < smallest.faults.length) {
      const faults = smallest.faults.filter(
        (_fault, index) => index < start || index >= start + chunkSize,
      );
      const candidate = {...smallest, faults};
      if (await fails(candidate)) {
        smallest = candidate;
      } else {
        start += chunkSize;
      }
    }
    chunkSize = chunkSize === 1 ? 0 : Math.ceil(chunkSize / 2);
  }
  return smallest;
}
