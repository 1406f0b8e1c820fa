import {
  decideBuying,
  Demand,
  getHourlyCost,
  Holding,
  Offer,
} from '../buying/index.js';
import {LogMembers} from '../log/index.js';
import {SeededRandom} from '../random/index.js';

const CENTRES = 4;
const CAPACITY = 16;
const HOURS = 24 * 7;
const ON_DEMAND_PRICE = 1;
const RECLAIM_COST = 0.05;
const START_MS = 3_600_000;

/** What a week of buying came to. */
interface Week {
  cost: number;
  hours: number;
  /** Hours in which the capacity for the target stood. */
  inTarget: number;
  /** Hours in which it would stand if the worst data centre went. */
  floorHeld: number;
}

/**
 * Buys for a week of prices that move, reclaims and refused starts, and for
 * the same need on demand.
 * @returns A line per situation.
 */
export function measureBuying(): LogMembers[] {
  const lines: LogMembers[] = [];
  for (const [users, demand] of [
    ['guild', {capacity: 128, floorShare: 0.75, reclaimCost: RECLAIM_COST * 3}],
    ['casillas', {capacity: 128, floorShare: 0.75, reclaimCost: RECLAIM_COST}],
  ] as const) {
    for (const change of [false, true]) {
      const ours = simulateWeek(demand, change);
      const onDemand = (demand.capacity / CAPACITY) * HOURS * ON_DEMAND_PRICE;
      lines.push({
        experiment: change ? 'buying-price-change' : 'buying',
        users,
        policy: 'sedgefall',
        cost_to_on_demand: (ours.cost / onDemand).toFixed(3),
        capacity_held: (ours.inTarget / ours.hours).toFixed(3),
        floor_held: (ours.floorHeld / ours.hours).toFixed(3),
      });
    }
  }
  return lines;
}

function simulateWeek(demand: Demand, pricesChange: boolean): Week {
  const random = new SeededRandom(7);
  const week: Week = {cost: 0, hours: 0, inTarget: 0, floorHeld: 0};
  let holdings: Holding[] = [];
  for (let hour = 0; hour < HOURS; hour++) {
    const nowMs = hour * START_MS;
    const offers = createOffers(hour, pricesChange);
    // Hosts are reclaimed by chance, now and then a whole data centre's.
    holdings = holdings.filter(holding => {
      if (!holding.reclaimable) {
        return true;
      }
      const offer = offers.find(other => other.zone === holding.zone);
      return random.next() > (offer?.reclaimsPerHour ?? 0);
    });
    if (hour % 60 === 59) {
      const lost = `centre-${Math.floor(random.next() * CENTRES)}`;
      holdings = holdings.filter(
        holding => !holding.reclaimable || holding.dataCentre !== lost,
      );
    }
    week.hours++;
    const before = sumCapacity(holdings);
    const refused = hour % 24 === 5 ? 0 : -1;
    const open = offers.map((offer, index) =>
      index === refused ? {...offer, refusedUntilMs: nowMs + START_MS} : offer,
    );
    for (const purchase of decideBuying(demand, open, holdings, nowMs)) {
      holdings.push({...purchase, count: 1});
    }
    holdings = release(holdings, demand);
    week.cost += holdings.reduce(
      (sum, holding) => sum + getPrice(holding, offers, demand),
      0,
    );
    // What was lost in the hour is missing until its replacement has started.
    const missing = Math.max(0, demand.capacity - before) > CAPACITY * 2;
    week.inTarget += hour > 0 && missing ? 0 : 1;
    week.floorHeld += holdsFloor(holdings, demand) ? 1 : 0;
  }
  return week;
}

function createOffers(hour: number, pricesChange: boolean): Offer[] {
  return Array.from({length: CENTRES}, (_unused, centre) => {
    const dear = pricesChange && Math.floor(hour / 24) % CENTRES === centre;
    return {
      zone: `zone-${centre}`,
      dataCentre: `centre-${centre}`,
      machineClass: 'standard',
      reclaimablePrice: (0.28 + centre * 0.02) * (dear ? 2.5 : 1),
      onDemandPrice: ON_DEMAND_PRICE,
      reclaimsPerHour: 0.02 + centre * 0.005,
      capacity: CAPACITY,
      refusedUntilMs: 0,
    };
  });
}

/** Gives back what is over, on demand first. */
function release(holdings: Holding[], demand: Demand): Holding[] {
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
      byCentre.set(holding.dataCentre, sum + CAPACITY);
    }
  }
  const worst = Math.max(0, ...byCentre.values());
  const floor = demand.capacity * demand.floorShare;
  return sumCapacity(holdings) - worst >= floor;
}

function sumCapacity(holdings: readonly Holding[]): number {
  return holdings.length * CAPACITY;
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
