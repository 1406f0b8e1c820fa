import {HostAddress} from './host_address.js';
import {KnownHosts} from './known_hosts.js';

/** Aggregators of its data centre that a host tells: one, and one to take over. */
const AGGREGATORS = 2;

/**
 * Chooses the hosts to keep a connection to: all while there are few. Of many, a
 * host is linked with the aggregators of its data centre, and an aggregator with
 * one in each other data centre, so that the number of links does not grow with
 * the fleet.
 * @param self - This host.
 * @param known - The others.
 */
export function chooseRelayLinks(
  self: HostAddress,
  known: KnownHosts,
): HostAddress[] {
  if (!known.isLarge()) {
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
  // What takes over needs to hear this host; this one needs no more of its own.
  return [...here.slice(0, AGGREGATORS - 1), ...far];
}
