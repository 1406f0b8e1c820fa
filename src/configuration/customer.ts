/** Someone on whose behalf requests come in. */
export interface Customer {
  readonly name: string;
  /** SHA-256 of each bearer key, in hexadecimal; the keys are kept nowhere. */
  readonly keyHashes: readonly string[];
  /** Share of the capacity, relative to other customers. */
  readonly weight: number;
  /** Most urgent priority it may ask for, 0 to 7. */
  readonly mostUrgent: number;
}
