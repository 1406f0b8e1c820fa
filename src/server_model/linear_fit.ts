/** Number of features of a request: constant, own tokens, tokens ahead, occupancy. */
export const FEATURE_COUNT = 4;
/** Number of sums of a fit: products of pairs of features, then features times values. */
export const SUM_COUNT = 14;

/** A prior value and the plausible range of one coefficient. */
export interface CoefficientBounds {
  readonly prior: number;
  /** Weight of the prior, in squared units of the feature. */
  readonly weight: number;
  readonly min: number;
  readonly max: number;
}

/** Weight that fixes a coefficient at its bound. */
const FIXED_WEIGHT = 1e12;

/**
 * Returns the sums of one observation. The first one is its weight.
 * @param features - The features; the first one is 1.
 * @param value - The observed value.
 * @param weight - Weight of the observation.
 */
export function createLinearSums(
  features: readonly number[],
  value: number,
  weight: number,
): number[] {
  const sums: number[] = [];
  for (const [row, first] of features.entries()) {
    for (const second of features.slice(row)) {
      sums.push(weight * first * second);
    }
  }
  return [...sums, ...features.map(feature => weight * feature * value)];
}

/**
 * Fits coefficients by least squares. A coefficient outside its range is set to the
 * bound, and the others are fitted again.
 * @param sums - Sums of observations; see `createLinearSums`.
 * @param bounds - Prior and range of each coefficient.
 */
export function fitLinear(
  sums: readonly number[],
  bounds: readonly CoefficientBounds[],
): number[] {
  const priors = bounds.map(({prior, weight}) => ({prior, weight}));
  for (;;) {
    const solution = solve(sums, priors);
    const outside = solution.findIndex(
      (value, index) => !isWithin(value, bounds[index]),
    );
    const bound = bounds[outside];
    if (bound === undefined || priors[outside]?.weight === FIXED_WEIGHT) {
      return solution.map((value, index) => clamp(value, bounds[index]));
    }
    priors[outside] = {
      prior: clamp(solution[outside] ?? 0, bound),
      weight: FIXED_WEIGHT,
    };
  }
}

/** Solves the normal equations with priors by Gaussian elimination. */
function solve(
  sums: readonly number[],
  priors: readonly {readonly prior: number; readonly weight: number}[],
): number[] {
  const size = priors.length;
  const rows = priors.map(({prior, weight}, row) => {
    const cells = priors.map((_, column) => sums[getIndex(row, column)] ?? 0);
    cells[row] = (cells[row] ?? 0) + weight;
    const value = sums[SUM_COUNT - size + row] ?? 0;
    return [...cells, value + weight * prior];
  });
  // The matrix is positive definite because of the priors, so no pivoting is needed.
  for (const [pivot, pivotRow] of rows.entries()) {
    for (const [index, row] of rows.entries()) {
      if (index === pivot) {
        continue;
      }
      const factor = (row[pivot] ?? 0) / (pivotRow[pivot] ?? 1);
      for (let column = pivot; column <= size; column++) {
        row[column] = (row[column] ?? 0) - factor * (pivotRow[column] ?? 0);
      }
    }
  }
  return rows.map((row, index) => (row[size] ?? 0) / (row[index] ?? 1));
}

/** Returns the index of a pair of features among the sums. */
function getIndex(row: number, column: number): number {
  const first = Math.min(row, column);
  const second = Math.max(row, column);
  return first * FEATURE_COUNT - (first * (first - 1)) / 2 + second - first;
}

function isWithin(
  value: number,
  bound: CoefficientBounds | undefined,
): boolean {
  return bound === undefined || (value >= bound.min && value <= bound.max);
}

function clamp(value: number, bound: CoefficientBounds | undefined): number {
  return bound === undefined
    ? value
    : Math.min(bound.max, Math.max(bound.min, value));
}
