import {hashText} from '../random/index.js';

/** Values that a digest can have: it stays a whole number of 32 bits. */
const MODULUS = 2 ** 32;
const SEPARATOR = '\n';

/**
 * A number that stands for the rows of a table and their substance, in any order:
 * replicas that hold the same have the same one, so that they need not send each
 * other rows to find that out.
 */
export class RowDigest {
  private sum = 0;

  /** Returns the number. */
  get(): number {
    return this.sum;
  }

  /** Takes in a row that now stands in the table. */
  add(key: string, substance: string): void {
    this.sum = (this.sum + hashRow(key, substance)) % MODULUS;
  }

  /** Takes out a row as it stood before. */
  remove(key: string, substance: string): void {
    this.sum = (this.sum + MODULUS - hashRow(key, substance)) % MODULUS;
  }
}

function hashRow(key: string, substance: string): number {
  return hashText(key + SEPARATOR + substance);
}
