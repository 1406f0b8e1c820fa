import {rankByRendezvous} from '../random/index.js';
import {KnownHosts} from './known_hosts.js';

/** Key by which data centres are ranked. */
const READERS = 'table-readers';
/** Number of data centres whose aggregators read: one, and one in case of a partition. */
const READING_CENTRES = 2;

/**
 * Returns whether a host is one of the two that read the platform's tables, and watch
 * its leases, on behalf of a large fleet.
 * @param known - The other hosts, as this host knows them.
 */
export function isTableReader(known: KnownHosts): boolean {
  const ranked = rankByRendezvous(READERS, known.listDataCentres());
  const reading = ranked.slice(0, READING_CENTRES);
  return reading.includes(known.getOwnCentre()) && known.isAggregator();
}
