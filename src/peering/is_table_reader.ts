import {rankByRendezvous} from '../random/index.js';
import {KnownHosts} from './known_hosts.js';

/** What data centres are ranked for. */
const READERS = 'table-readers';
/** Data centres whose aggregators read: one, and one for when it is cut off. */
const READING_CENTRES = 2;

/**
 * Tells whether a host is one of the two that read the platform's tables, and watch
 * its leases, for many.
 * @param known - What it knows of the others.
 */
export function isTableReader(known: KnownHosts): boolean {
  const ranked = rankByRendezvous(READERS, known.listDataCentres());
  const reading = ranked.slice(0, READING_CENTRES);
  return reading.includes(known.getOwnCentre()) && known.isAggregator();
}
