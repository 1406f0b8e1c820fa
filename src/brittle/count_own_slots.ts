import {HostPosition} from '../limits/index.js';

/** A server whose slots are divided among the hosts. */
export interface SlotServer {
  readonly id: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
}

/**
 * Divides the slots of a service's servers among the hosts: they are numbered, server by
 * server, and assigned round-robin. Hosts that know the same servers and hosts divide them
 * alike without exchanging messages, and no host has two slots more than another.
 * @returns This host's slots by server; servers of which it has none are left out.
 */
export function countOwnSlots(
  servers: readonly SlotServer[],
  {hosts, place}: HostPosition,
): ReadonlyMap<string, number> {
  const sorted = servers.toSorted((a, b) => (a.id < b.id ? -1 : 1));
  const own = new Map<string, number>();
  let first = 0;
  for (const {id, slots} of sorted) {
    const end = first + slots;
    const count =
      countBelow(end, hosts, place) - countBelow(first, hosts, place);
    if (count > 0) {
      own.set(id, count);
    }
    first = end;
  }
  return own;
}

/** Counts the slots of a host that have a number below `end`. */
function countBelow(end: number, hosts: number, place: number): number {
  return Math.max(0, Math.ceil((end - place) / hosts));
}
