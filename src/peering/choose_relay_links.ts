import {HostAddress} from './host_address.js';
import {KnownHosts} from './known_hosts.js';

/** Aggregators of its data centre that a host reports to: one, and one standby. */
const AGGREGATORS = 2;

/**
 * Returns whether a host is the standby aggregator of this host's data centre, which only
 * needs reports that are recent enough to take over.
 */
export function isStandbyAggregator(host: string, known: KnownHosts): boolean {
  const [, standby] = known.rankAggregators(known.getOwnCentre());
  return (
    known.isLargeFleet() && !known.isAggregator() && standby?.host === host
  );
}

/**
 * Chooses the hosts to keep a connection to. In a small fleet these are all hosts. In
 * a large one, a host is linked with the aggregators of its data centre, and an
 * aggregator with one in each other data centre, so that the number of links per host
 * does not grow with the fleet.
 * @param self - This host.
 * @param known - The other hosts.
 */
export function chooseRelayLinks(
  self: HostAddress,
  known: KnownHosts,
): HostAddress[] {
  if (!known.isLargeFleet()) {
    return known.listAddresses();
  }
  const ranked = known.rankAggregators(self.dataCentre);
  const here = ranked
    .filter(({host}) => host !== self.host)
    .slice(0, AGGREGATORS);
  if (ranked[0]?.host !== self.host) {
    return here;
  }
  const centres = known.listDataCentres();
  const far = centres
    .filter(dataCentre => dataCentre !== self.dataCentre)
    .flatMap(dataCentre => known.rankAggregators(dataCentre).slice(0, 1));
  // The standby needs the reports of this aggregator; no further local link is needed.
  return [...here.slice(0, AGGREGATORS - 1), ...far];
}
