/** Source of randomness, passed in so that runs can be repeated from a seed. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
}
