/** A party whose requests are served; each request is attributed to one by its key. */
export interface Customer {
  readonly name: string;
  /** SHA-256 of each bearer key, in hexadecimal; the keys themselves are not stored. */
  readonly keyHashes: readonly string[];
  /** Share of the capacity, relative to the weights of other customers. */
  readonly weight: number;
  /** Most urgent urgency that it may request, from 0 (most urgent) to 7. */
  readonly mostUrgent: number;
}
