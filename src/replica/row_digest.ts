import {hashText} from '../random/index.js';

/** Number of possible digests: a digest is an unsigned 32-bit integer. */
const MODULUS = 2 ** 32;
const SEPARATOR = '\n';

/**
 * Digest of the rows of a table and their significant content, independent of their
 * order. Replicas with the same rows have the same digest, so they can compare
 * themselves without sending each other the rows.
 */
export class RowDigest {
  private sum = 0;

  /** Returns the digest. */
  get(): number {
    return this.sum;
  }

  /** Adds a row that is now in the table. */
  add(key: string, content: string): void {
    this.sum = (this.sum + hashRow(key, content)) % MODULUS;
  }

  /** Removes a row with the content that it had when it was added. */
  remove(key: string, content: string): void {
    this.sum = (this.sum + MODULUS - hashRow(key, content)) % MODULUS;
  }
}

function hashRow(key: string, content: string): number {
  return hashText(key + SEPARATOR + content);
}
