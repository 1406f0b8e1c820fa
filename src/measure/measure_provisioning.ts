import {
  planHostOrders,
  Demand,
  getHourlyCost,
  Holding,
  Offer,
} from '../provisioning/index.js';
import {LogFields} from '../log/index.js';
import {SeededRandom} from '../random/index.js';

const DATA_CENTRE_COUNT = 4;
const HOST_CAPACITY = 16;
const WEEK_HOURS = 24 * 7;
const ON_DEMAND_PRICE = 1;
const RECLAIM_COST = 0.05;
const HOUR_MS = 3_600_000;

/** Results of a simulated week of provisioning. */
interface WeekFigures {
  cost: number;
  hours: number;
  /**
   * Hours in which, after reclaims, at most two hosts' capacity was missing; the
   * first hour, which starts without hosts, always counts.
   */
  hoursOnTarget: number;
  /**
   * Hours in which the floor would be met without the reclaimable hosts of the
   * data centre that has most of them.
   */
  hoursAboveFloor: number;
}

/**
 * Simulates a week of provisioning with reclaims and refused host starts, with
 * constant and with changing prices, and compares its cost with that of on-demand
 * hosts of the same capacity.
 * @returns One line per user group and price situation.
 */
export function measureProvisioning(): LogFields[] {
  const lines: LogFields[] = [];
  for (const [users, demand] of [
    ['guild', {capacity: 128, floorShare: 0.75, reclaimCost: RECLAIM_COST * 3}],
    ['casillas', {capacity: 128, floorShare: 0.75, reclaimCost: RECLAIM_COST}],
  ] as const) {
    for (const change of [false, true]) {
      const ours = simulateWeek(demand, change);
      const onDemand =
        (demand.capacity / HOST_CAPACITY) * WEEK_HOURS * ON_DEMAND_PRICE;
      lines.push({
        experiment: change ? 'buying-price-change' : 'buying',
        users,
        policy: 'sedgefall',
        cost_to_on_demand: (ours.cost / onDemand).toFixed(3),
        capacity_held: (ours.hoursOnTarget / ours.hours).toFixed(3),
        floor_held: (ours.hoursAboveFloor / ours.hours).toFixed(3),
      });
    }
  }
  return lines;
}

function simulateWeek(demand: Demand, pricesChange: boolean): WeekFigures {
  const random = new SeededRandom(7);
  const week: WeekFigures = {
    cost: 0,
    hours: 0,
    hoursOnTarget: 0,
    hoursAboveFloor: 0,
  };
  let holdings: Holding[] = [];
  for (let hour = 0; hour < WEEK_HOURS; hour++) {
    const nowMs = hour * HOUR_MS;
    const offers = createOffers(hour, pricesChange);
    // Hosts are reclaimed at random; every 60 hours a whole data centre's are.
    holdings = holdings.filter(holding => {
      if (!holding.reclaimable) {
        return true;
      }
      const offer = offers.find(other => other.zone === holding.zone);
      return random.next() > (offer?.reclaimsPerHour ?? 0);
    });
    if (hour % 60 === 59) {
      const lostDataCentre = `centre-${Math.floor(random.next() * DATA_CENTRE_COUNT)}`;
      holdings = holdings.filter(
        holding =>
          !holding.reclaimable || holding.dataCentre !== lostDataCentre,
      );
    }
    week.hours++;
    const capacityBefore = sumCapacity(holdings);
    const refusedIndex = hour % 24 === 5 ? 0 : -1;
    const availableOffers = offers.map((offer, index) =>
      index === refusedIndex
        ? {...offer, refusedUntilMs: nowMs + HOUR_MS}
        : offer,
    );
    for (const hostOrder of planHostOrders(
      demand,
      availableOffers,
      holdings,
      nowMs,
    )) {
      holdings.push({...hostOrder, count: 1});
    }
    holdings = releaseSurplus(holdings, demand);
    week.cost += holdings.reduce(
      (sum, holding) => sum + getPrice(holding, offers, demand),
      0,
    );
    // Lost capacity is missing until its replacement has started, so the hour is
    // evaluated with the capacity before the new orders.
    const isShort =
      Math.max(0, demand.capacity - capacityBefore) > HOST_CAPACITY * 2;
    week.hoursOnTarget += hour > 0 && isShort ? 0 : 1;
    week.hoursAboveFloor += holdsFloor(holdings, demand) ? 1 : 0;
  }
  return week;
}

function createOffers(hour: number, pricesChange: boolean): Offer[] {
  return Array.from({length: DATA_CENTRE_COUNT}, (_unused, centre) => {
    const isExpensive =
      pricesChange && Math.floor(hour / 24) % DATA_CENTRE_COUNT === centre;
    return {
      zone: `zone-${centre}`,
      dataCentre: `centre-${centre}`,
      machineClass: 'standard',
      reclaimablePrice: (0.28 + centre * 0.02) * (isExpensive ? 2.5 : 1),
      onDemandPrice: ON_DEMAND_PRICE,
      reclaimsPerHour: 0.02 + centre * 0.005,
      capacity: HOST_CAPACITY,
      refusedUntilMs: 0,
    };
  });
}

/** Releases on-demand hosts that neither the capacity nor the floor requires. */
function releaseSurplus(holdings: Holding[], demand: Demand): Holding[] {
  const kept = [...holdings];
  for (const holding of holdings.filter(other => !other.reclaimable)) {
    const without = kept.filter(other => other !== holding);
    const enough = sumCapacity(without) >= demand.capacity;
    if (enough && holdsFloor(without, demand)) {
      kept.splice(kept.indexOf(holding), 1);
    }
  }
  return kept;
}

function holdsFloor(holdings: readonly Holding[], demand: Demand): boolean {
  const byCentre = new Map<string, number>();
  for (const holding of holdings) {
    if (holding.reclaimable) {
      const sum = byCentre.get(holding.dataCentre) ?? 0;
      byCentre.set(holding.dataCentre, sum + HOST_CAPACITY);
    }
  }
  const worst = Math.max(0, ...byCentre.values());
  const floor = demand.capacity * demand.floorShare;
  return sumCapacity(holdings) - worst >= floor;
}

function sumCapacity(holdings: readonly Holding[]): number {
  return holdings.length * HOST_CAPACITY;
}

function getPrice(
  holding: Holding,
  offers: readonly Offer[],
  demand: Demand,
): number {
  const offer = offers.find(other => other.zone === holding.zone);
  if (offer === undefined || !holding.reclaimable) {
    return ON_DEMAND_PRICE;
  }
  return getHourlyCost(offer, demand);
}
