import {PlacesInUse} from '../admission/index.js';

/** Sums requests in flight by service and customer. */
export function sumPlaces(places: Iterable<PlacesInUse>): PlacesInUse[] {
  const sums = new Map<string, PlacesInUse>();
  for (const [service, customer, inFlight] of places) {
    const key = JSON.stringify([service, customer]);
    const known = sums.get(key)?.[2] ?? 0;
    sums.set(key, [service, customer, known + inFlight]);
  }
  return [...sums.values()].filter(([, , inFlight]) => inFlight > 0);
}

/** Subtracts one host's requests in flight from a sum that includes them. */
export function subtractPlaces(
  whole: readonly PlacesInUse[],
  part: readonly PlacesInUse[],
): PlacesInUse[] {
  const taken = part.map(([service, customer, inFlight]): PlacesInUse => [
    service,
    customer,
    -inFlight,
  ]);
  return sumPlaces([...whole, ...taken]);
}

/** Copies requests in flight to a message; `undefined` if there are none. */
export function copyPlaces(
  places: readonly PlacesInUse[],
): [string, string, number][] | undefined {
  return places.length === 0
    ? undefined
    : places.map(([service, customer, count]) => [service, customer, count]);
}
