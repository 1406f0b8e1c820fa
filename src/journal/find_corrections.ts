import {Entry, EntryState} from './entry.js';

/** States in which a handed-over entry overrides a record that was written late. */
const CONCLUSIVE_STATES: ReadonlySet<EntryState> = new Set([
  EntryState.ACCEPTED,
  EntryState.FINISHED,
  EntryState.REFUSED,
]);

/**
 * Returns the handed-over entries whose state is missing from the table. The host
 * that handed the book over had stopped dispatching by then, so its states are the
 * latest.
 * @param recorded - Entries in the table.
 * @param handedOver - Entries that were handed over.
 */
export function findCorrections(
  recorded: readonly Entry[],
  handedOver: readonly Entry[],
): Entry[] {
  const byKey = new Map(recorded.map(entry => [entry.key, entry]));
  return handedOver.filter(entry => {
    const other = byKey.get(entry.key);
    const known = other?.state === entry.state && other.atMs === entry.atMs;
    return CONCLUSIVE_STATES.has(entry.state) && !known;
  });
}
