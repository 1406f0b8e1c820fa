import {Entry, EntryState} from './entry.js';

/** States about which a handover knows more than a record that came late. */
const CONCLUSIVE: ReadonlySet<EntryState> = new Set([
  EntryState.ACCEPTED,
  EntryState.FINISHED,
  EntryState.REFUSED,
]);

/**
 * Finds the entries of a handover that the table does not know of. The host
 * that handed over had stopped dispatching by then, so its word is the last.
 * @param recorded - What the table has.
 * @param handed - What was handed over.
 */
export function findCorrections(
  recorded: readonly Entry[],
  handed: readonly Entry[],
): Entry[] {
  const byKey = new Map(recorded.map(entry => [entry.key, entry]));
  return handed.filter(entry => {
    const other = byKey.get(entry.key);
    const known = other?.state === entry.state && other.atMs === entry.atMs;
    return CONCLUSIVE.has(entry.state) && !known;
  });
}
