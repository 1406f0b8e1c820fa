/** Sums by key. */
export type SumTable = ReadonlyMap<string, readonly number[]>;

/** Decayed sums of the observations of one host, or of several together. */
export interface ModelSums {
  /** By service: the sums of `createLinearSums`. */
  readonly services: SumTable;
  /** By service and route: the count, and the sum of logarithms of times. */
  readonly routes: SumTable;
  /** By key of the server: the expected and the actual times of answers, in milliseconds. */
  readonly servers: SumTable;
  /** By key of the server: count of the most recent answers, and sum of their late shares. */
  readonly late: SumTable;
}

/** Half-life of the sums of services and routes: their times change with releases. */
export const SERVICE_HALF_LIFE_MS = 30_000;
/**
 * Half-life of the sums of servers. All hosts together get 10 answers per second from a
 * server, so these are enough answers to average over slow periods of 600 ms.
 */
export const SERVER_HALF_LIFE_MS = 5000;
/** Half-life of an observed lateness: half of the usual length of a slow period. */
export const LATE_HALF_LIFE_MS = 300;

export const NO_SUMS: ModelSums = {
  services: new Map(),
  routes: new Map(),
  servers: new Map(),
  late: new Map(),
};

/** Adds up the sums of several hosts; the caller must add each host only once. */
export class ModelSum {
  private readonly services = new Map<string, readonly number[]>();
  private readonly routes = new Map<string, readonly number[]>();
  private readonly servers = new Map<string, readonly number[]>();
  private readonly late = new Map<string, readonly number[]>();

  /**
   * Adds sums.
   * @param sums - The sums.
   * @param ageMs - Age of the sums, in milliseconds; they decay accordingly.
   */
  add(sums: ModelSums, ageMs: number): void {
    const serviceFactor = 0.5 ** (ageMs / SERVICE_HALF_LIFE_MS);
    const serverFactor = 0.5 ** (ageMs / SERVER_HALF_LIFE_MS);
    const lateFactor = 0.5 ** (ageMs / LATE_HALF_LIFE_MS);
    addTable(this.services, sums.services, serviceFactor);
    addTable(this.routes, sums.routes, serviceFactor);
    addTable(this.servers, sums.servers, serverFactor);
    addTable(this.late, sums.late, lateFactor);
  }

  /** Returns the sums. */
  get(): ModelSums {
    const {services, routes, servers, late} = this;
    return {services, routes, servers, late};
  }
}

/**
 * Subtracts the sums of one host.
 * @param whole - The sums of several hosts.
 * @param part - The sums of the host that were added to the whole.
 * @param ageMs - Age of the part when it was added, in milliseconds.
 */
export function subtractSums(
  whole: ModelSums,
  part: ModelSums,
  ageMs: number,
): ModelSums {
  const serviceFactor = 0.5 ** (ageMs / SERVICE_HALF_LIFE_MS);
  const serverFactor = 0.5 ** (ageMs / SERVER_HALF_LIFE_MS);
  const lateFactor = 0.5 ** (ageMs / LATE_HALF_LIFE_MS);
  return {
    services: subtractTable(whole.services, part.services, serviceFactor),
    routes: subtractTable(whole.routes, part.routes, serviceFactor),
    servers: subtractTable(whole.servers, part.servers, serverFactor),
    late: subtractTable(whole.late, part.late, lateFactor),
  };
}

function addTable(
  into: Map<string, readonly number[]>,
  table: SumTable,
  factor: number,
): void {
  for (const [key, values] of table) {
    const before = into.get(key);
    into.set(
      key,
      values.map((value, index) => (before?.[index] ?? 0) + value * factor),
    );
  }
}

function subtractTable(
  whole: SumTable,
  part: SumTable,
  factor: number,
): SumTable {
  const left = new Map<string, readonly number[]>();
  for (const [key, values] of whole) {
    const taken = part.get(key) ?? [];
    const rest = values.map(
      (value, index) => value - (taken[index] ?? 0) * factor,
    );
    // Without weight, the rest consists of rounding errors.
    if ((rest[0] ?? 0) >= MIN_REST_WEIGHT) {
      left.set(key, rest);
    }
  }
  return left;
}

/** Weight of a difference of sums from which it counts. */
const MIN_REST_WEIGHT = 0.05;
