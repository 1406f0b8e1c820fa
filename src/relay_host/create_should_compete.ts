import {ResolutionContext} from 'inversify';
import {HostReports, isTableReader, KnownHosts} from '../peering/index.js';
import {CLOCK} from './identifiers.js';

/**
 * Time without a reachable holder of the duties after which any host competes for them, in
 * milliseconds: the aggregators, which compete at once, may all be disconnected.
 */
const HOLDER_TIMEOUT_MS = 10_000;

/**
 * Creates the function that tells whether this host should compete for the duties. If
 * there are few hosts, all of them do. If there are many, those that read the tables check
 * the lease regularly, and so take it over as soon as it expires; aggregators join them
 * while no holder is reachable.
 */
export function createShouldCompete(context: ResolutionContext): () => boolean {
  const clock = context.get(CLOCK);
  const knownHosts = context.get(KnownHosts);
  const reports = context.get(HostReports);
  let holderSeenMs = clock.monotonicMs();
  return () => {
    if (!knownHosts.isLargeFleet() || isTableReader(knownHosts)) {
      return true;
    }
    if (reports.knowsHolder()) {
      holderSeenMs = clock.monotonicMs();
      return false;
    }
    const isTimedOut = clock.monotonicMs() - holderSeenMs > HOLDER_TIMEOUT_MS;
    return knownHosts.isAggregator() || isTimedOut;
  };
}
