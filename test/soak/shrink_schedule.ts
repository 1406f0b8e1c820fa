import {Schedule} from './schedule.js';

/**
 * Leaves faults out of a schedule while it still fails: halves first, then ever
 * smaller parts.
 * @param schedule - A schedule that fails.
 * @param fails - Plays a schedule; tells whether it fails.
 * @returns A schedule that failed, of which no part that was tried could go.
 */
export async function shrinkSchedule(
  schedule: Schedule,
  fails: (schedule: Schedule) => Promise<boolean>,
): Promise<Schedule> {
  let smallest = schedule;
  let size = Math.ceil(schedule.faults.length / 2);
  while (size >= 1) {
    let from = 0;
    while (from < smallest.faults.length) {
      const faults = smallest.faults.filter(
        (_fault, index) => index < from || index >= from + size,
      );
      const tried = {...smallest, faults};
      if (await fails(tried)) {
        smallest = tried;
      } else {
        from += size;
      }
    }
    size = size === 1 ? 0 : Math.ceil(size / 2);
  }
  return smallest;
}
