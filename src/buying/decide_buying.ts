/** A kind of host that can be bought: a machine class in a zone. */
export interface Offer {
  readonly zone: string;
  readonly dataCentre: string;
  readonly machineClass: string;
  /** Price of an hour of a reclaimable host. */
  readonly reclaimablePrice: number;
  /** Price of an hour of an on-demand host. */
  readonly onDemandPrice: number;
  /** Reclaims per host and hour seen lately. */
  readonly reclaimsPerHour: number;
  /** Generations a host of this class decodes at once. */
  readonly capacity: number;
  /** Until when starts are not asked for, after a refusal; monotonic ms. */
  readonly refusedUntilMs: number;
}

/** Hosts of one kind that run or are being started. */
export interface Holding {
  readonly zone: string;
  readonly dataCentre: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
  readonly count: number;
}

/** What is needed. */
export interface Demand {
  /** Generations that must be decoded at once, for the latency target. */
  readonly capacity: number;
  /** Share of it that must stand when the worst data centre is taken back. */
  readonly floorShare: number;
  /** Cost of one reclaim: tokens recomputed and time past the target. */
  readonly reclaimCost: number;
}

/** Hosts to start. */
export interface Purchase {
  readonly zone: string;
  readonly dataCentre: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
  readonly reason: string;
}

/** Longest list of starts decided at once. */
const MAX_PURCHASES = 64;

/**
 * Decides which hosts to start.
 *
 * A reclaimable host costs its price and what its expected reclaims cost; the
 * cheapest kind per generation is bought first, spread so that no data centre
 * holds more than its share. On-demand hosts are bought only for the floor
 * that must stand when the data centre with most reclaimable hosts goes.
 * @param demand - What is needed.
 * @param offers - What can be bought.
 * @param holdings - What runs or is being started.
 * @param nowMs - Monotonic time.
 */
export function decideBuying(
  demand: Demand,
  offers: readonly Offer[],
  holdings: readonly Holding[],
  nowMs: number,
): Purchase[] {
  const open = offers.filter(offer => offer.refusedUntilMs <= nowMs);
  const capacityOf = createCapacityLookup(offers);
  const held = new Map<string, number>();
  let reclaimable = 0;
  let onDemand = 0;
  for (const holding of holdings) {
    const capacity = holding.count * capacityOf(holding);
    if (holding.reclaimable) {
      reclaimable += capacity;
      addTo(held, holding.dataCentre, capacity);
    } else {
      onDemand += capacity;
    }
  }
  const purchases: Purchase[] = [];
  while (purchases.length < MAX_PURCHASES) {
    const worst = Math.max(0, ...held.values());
    const survives = reclaimable + onDemand - worst;
    const lacksFloor = survives < demand.capacity * demand.floorShare;
    const lacksCapacity = reclaimable + onDemand < demand.capacity;
    if (!lacksCapacity && !lacksFloor) {
      break;
    }
    const offer = chooseOffer(demand, open, held);
    if (offer === undefined) {
      break;
    }
    // Another reclaimable host elsewhere raises the floor as well, and is
    // cheaper, unless it would go into the data centre that is already worst.
    const raises = (held.get(offer.dataCentre) ?? 0) + offer.capacity <= worst;
    const buysOnDemand = !lacksCapacity && lacksFloor && !raises;
    if (buysOnDemand) {
      const cheapest = open.reduce((a, b) =>
        b.onDemandPrice / b.capacity < a.onDemandPrice / a.capacity ? b : a,
      );
      onDemand += cheapest.capacity;
      purchases.push(toPurchase(cheapest, false, 'floor-for-lost-data-centre'));
      continue;
    }
    reclaimable += offer.capacity;
    addTo(held, offer.dataCentre, offer.capacity);
    const reason = lacksCapacity ? 'cheapest-per-generation' : 'spread';
    purchases.push(toPurchase(offer, true, reason));
  }
  return purchases;
}

/** Cheapest kind per generation; a data centre that holds more costs more. */
function chooseOffer(
  demand: Demand,
  offers: readonly Offer[],
  held: ReadonlyMap<string, number>,
): Offer | undefined {
  let best: Offer | undefined;
  let bestCost = Infinity;
  for (const offer of offers) {
    const concentration = (held.get(offer.dataCentre) ?? 0) / demand.capacity;
    const cost = getHourlyCost(offer, demand) * (1 + concentration);
    if (cost / offer.capacity < bestCost) {
      best = offer;
      bestCost = cost / offer.capacity;
    }
  }
  return best;
}

/** Expected cost of an hour of a reclaimable host. */
export function getHourlyCost(offer: Offer, demand: Demand): number {
  return offer.reclaimablePrice + offer.reclaimsPerHour * demand.reclaimCost;
}

function createCapacityLookup(
  offers: readonly Offer[],
): (holding: Holding) => number {
  const byClass = new Map(
    offers.map(offer => [offer.machineClass, offer.capacity]),
  );
  return holding => byClass.get(holding.machineClass) ?? 1;
}

function addTo(
  sums: Map<string, number>,
  dataCentre: string,
  capacity: number,
): void {
  sums.set(dataCentre, (sums.get(dataCentre) ?? 0) + capacity);
}

function toPurchase(
  offer: Offer,
  reclaimable: boolean,
  reason: string,
): Purchase {
  const {zone, dataCentre, machineClass} = offer;
  return {zone, dataCentre, machineClass, reclaimable, reason};
}
