import {Scaling} from '../catalog/index.js';

/** Servers of one service in one data centre, by kind. */
export interface CentreServers {
  readonly dataCentre: string;
  /** Reclaimable servers that accept requests. */
  readonly reclaimable: number;
  /** On-demand servers that accept requests. */
  readonly onDemand: number;
}

/** Servers to have in one data centre; both counts are totals, not differences. */
export interface CentreOrder {
  readonly dataCentre: string;
  readonly reclaimable: number;
  readonly onDemand: number;
}

/** Inputs of a plan. */
export interface FleetRequirements {
  readonly scaling: Scaling;
  /** Servers needed for the load with a margin, over all data centres. */
  readonly needed: number;
  /** Servers below which the work is not done in time. */
  readonly least: number;
  /** Number of servers up to which existing on-demand ones are not released. */
  readonly kept: number;
  readonly centres: readonly CentreServers[];
}

/**
 * Plans the servers of a service.
 *
 * Reclaimable servers cost a fraction of on-demand ones, so they take the load, spread
 * over the data centres so that most remain if one data centre is reclaimed. On-demand
 * servers are substitutes: they are ordered only while too few reclaimable servers serve
 * the load, and released only once enough of these serve.
 * @param requirements - Required and existing servers.
 */
export function planFleet(requirements: FleetRequirements): CentreOrder[] {
  const {scaling, centres} = requirements;
  const needed = clampTotal(requirements);
  const cheapest = [...centres].sort(
    (a, b) => getPrice(scaling, a) - getPrice(scaling, b),
  );
  const reclaimable =
    scaling.reclaimablePrice < 1
      ? spread(cheapest, needed, scaling)
      : new Map<string, number>();
  const serving = countServing(centres, reclaimable);
  const present = centres.reduce((sum, centre) => sum + centre.onDemand, 0);
  const missing = Math.max(
    Math.min(needed, Math.ceil(requirements.least)) - serving,
    Math.min(present, Math.ceil(requirements.kept) - serving),
  );
  const onDemand = spreadOnDemand(cheapest, missing, scaling);
  // With too few servers, none is released merely because they are spread unevenly.
  const isShort = countReclaimable(centres) <= needed;
  const here = new Map(
    centres.map(centre => [centre.dataCentre, centre.reclaimable]),
  );
  return centres.map(({dataCentre}) => {
    const kept = onDemand.get(dataCentre) ?? 0;
    const wanted = Math.max(
      reclaimable.get(dataCentre) ?? 0,
      isShort ? (here.get(dataCentre) ?? 0) : 0,
    );
    return {
      dataCentre,
      reclaimable: Math.min(wanted, scaling.max - kept),
      onDemand: kept,
    };
  });
}

function clampTotal({scaling, needed, centres}: FleetRequirements): number {
  const least = scaling.min * centres.length;
  const most = scaling.max * centres.length;
  return Math.min(most, Math.max(least, Math.ceil(needed)));
}

function countReclaimable(centres: readonly CentreServers[]): number {
  return centres.reduce((sum, centre) => sum + centre.reclaimable, 0);
}

function getPrice(scaling: Scaling, centre: CentreServers): number {
  return scaling.prices.get(centre.dataCentre) ?? 1;
}

/** Spreads servers evenly; the remainder goes to the cheapest data centres. */
function spread(
  cheapest: readonly CentreServers[],
  needed: number,
  scaling: Scaling,
): Map<string, number> {
  const counts = new Map<string, number>();
  let left = needed;
  while (left > 0) {
    const before = left;
    for (const {dataCentre} of cheapest) {
      const count = counts.get(dataCentre) ?? 0;
      if (left > 0 && count < scaling.max) {
        counts.set(dataCentre, count + 1);
        left--;
      }
    }
    if (left === before) {
      return counts;
    }
  }
  return counts;
}

/** Counts the reclaimable servers that serve, at most those wanted per data centre. */
function countServing(
  centres: readonly CentreServers[],
  wanted: ReadonlyMap<string, number>,
): number {
  let serving = 0;
  for (const centre of centres) {
    const most = wanted.get(centre.dataCentre) ?? 0;
    serving += Math.min(most, centre.reclaimable);
  }
  return serving;
}

/** Keeps existing on-demand servers first, then adds the rest where they are cheapest. */
function spreadOnDemand(
  cheapest: readonly CentreServers[],
  missing: number,
  scaling: Scaling,
): Map<string, number> {
  const counts = new Map<string, number>();
  let left = Math.max(0, missing);
  for (const centre of cheapest) {
    const capacity = Math.max(0, scaling.max - centre.reclaimable);
    const kept = Math.min(left, centre.onDemand, capacity);
    counts.set(centre.dataCentre, kept);
    left -= kept;
  }
  for (let round = 0; round < scaling.max && left > 0; round++) {
    for (const centre of cheapest) {
      const {dataCentre} = centre;
      const count = counts.get(dataCentre) ?? 0;
      if (left > 0 && count + centre.reclaimable < scaling.max) {
        counts.set(dataCentre, count + 1);
        left--;
      }
    }
  }
  return counts;
}
