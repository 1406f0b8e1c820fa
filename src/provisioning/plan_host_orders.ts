/** A kind of host that can be ordered: a machine class in a zone. */
export interface Offer {
  readonly zone: string;
  readonly dataCentre: string;
  readonly machineClass: string;
  /** Price of a reclaimable host per hour. */
  readonly reclaimablePrice: number;
  /** Price of an on-demand host per hour. */
  readonly onDemandPrice: number;
  /** Recently observed reclaims per host and hour. */
  readonly reclaimsPerHour: number;
  /** Generations that a host of this class decodes concurrently. */
  readonly capacity: number;
  /** End of the backoff after a refused start, monotonic milliseconds. */
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

/** Required capacity. */
export interface Demand {
  /** Generations that must be decoded concurrently to meet the latency target. */
  readonly capacity: number;
  /** Fraction that must remain if the data centre with the most capacity is reclaimed. */
  readonly floorShare: number;
  /** Cost of one reclaim: recomputed tokens and time past the latency target. */
  readonly reclaimCost: number;
}

/** A host to start. */
export interface HostOrder {
  readonly zone: string;
  readonly dataCentre: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
  readonly reason: string;
}

/** Maximum number of hosts ordered at once. */
const MAX_ORDERS = 64;

/**
 * Decides which hosts to start.
 *
 * The cost of a reclaimable host is its price plus the cost of its expected reclaims. The
 * cheapest kind per generation is ordered first, spread over the data centres, since
 * capacity in a data centre raises its cost. On-demand hosts are ordered only for the
 * floor that must remain if the data centre with the most reclaimable capacity is lost.
 * @param demand - Required capacity.
 * @param offers - Kinds of hosts that can be ordered.
 * @param holdings - Hosts that run or are being started.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function planHostOrders(
  demand: Demand,
  offers: readonly Offer[],
  holdings: readonly Holding[],
  nowMs: number,
): HostOrder[] {
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
  const orders: HostOrder[] = [];
  while (orders.length < MAX_ORDERS) {
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
    // cheaper, unless it goes into the data centre with the most capacity.
    const raisesFloor =
      (held.get(offer.dataCentre) ?? 0) + offer.capacity <= worst;
    const ordersOnDemand = !lacksCapacity && lacksFloor && !raisesFloor;
    if (ordersOnDemand) {
      const cheapest = open.reduce((a, b) =>
        b.onDemandPrice / b.capacity < a.onDemandPrice / a.capacity ? b : a,
      );
      onDemand += cheapest.capacity;
      orders.push(
        createHostOrder(cheapest, false, 'floor-for-lost-data-centre'),
      );
      continue;
    }
    reclaimable += offer.capacity;
    addTo(held, offer.dataCentre, offer.capacity);
    const reason = lacksCapacity ? 'cheapest-per-generation' : 'spread';
    orders.push(createHostOrder(offer, true, reason));
  }
  return orders;
}

/** Chooses the cheapest kind per generation; capacity in a data centre raises its cost. */
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

/** Returns the expected cost of a reclaimable host per hour, including reclaims. */
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

function createHostOrder(
  offer: Offer,
  reclaimable: boolean,
  reason: string,
): HostOrder {
  const {zone, dataCentre, machineClass} = offer;
  return {zone, dataCentre, machineClass, reclaimable, reason};
}
