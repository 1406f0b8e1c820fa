/** Source of random numbers, injected so that a run can be repeated from a seed. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
}
