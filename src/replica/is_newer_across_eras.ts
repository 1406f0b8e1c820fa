import {VersionedRow} from './versioned_row.js';

/**
 * Returns a number that its author raises with each change of a row, or several in order
 * of significance; `undefined` if the text has none.
 */
export type GetSequence = (text: string) => readonly number[] | undefined;

/** A row as a replica knows it, with the last text that it had. */
export interface KnownRow {
  readonly row: VersionedRow;
  /** The text of the row, or the last one before it was removed. */
  readonly lastText: string | undefined;
}

/**
 * Returns whether a row replaces a known one of another era of the table; see
 * `createVersion`.
 *
 * The table was restored from a copy in between, so a row of the later era may be the older
 * one: it may have been in the copy, while its author has changed it since. The sequence
 * that the author gives it decides. Without one, the row of the later era replaces the other.
 * @param row - The row.
 * @param known - The known row, of another era.
 * @param getSequence - Reads the sequence of a text.
 */
export function isNewerAcrossEras(
  row: VersionedRow,
  known: KnownRow,
  getSequence: GetSequence,
): boolean {
  const isLater = row.version > known.row.version;
  if (row.text === undefined || known.lastText === undefined) {
    return isLater;
  }
  const order = compareSequences(
    getSequence(row.text),
    getSequence(known.lastText),
  );
  if (order === undefined) {
    return isLater;
  }
  if (known.row.text === undefined) {
    // Only a row that was written after the removal shows that the row exists again.
    return isLater && order > 0;
  }
  return order > 0 || (order === 0 && isLater && row.text === known.lastText);
}

/** Compares two sequences; `undefined` if one of them is absent. */
function compareSequences(
  a: readonly number[] | undefined,
  b: readonly number[] | undefined,
): number | undefined {
  if (a === undefined || b === undefined) {
    return undefined;
  }
  for (const [index, value] of a.entries()) {
    const difference = value - (b[index] ?? 0);
    if (difference !== 0) {
      return difference;
    }
  }
  return 0;
}
