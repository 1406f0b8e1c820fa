import {ResolutionContext} from 'inversify';
import {HostReports, isTableReader, KnownHosts} from '../peering/index.js';
import {CLOCK} from './identifiers.js';

/**
 * Time without word of a holder after which any host tries to be one, in
 * milliseconds: the aggregators, who try at once, may all be cut off.
 */
const LEFT_ALONE_MS = 10_000;

/**
 * Makes what tells whether a host should try to hold the duties. Few hosts all do.
 * Of many, those that read the tables watch the lease, and so take it over as soon as
 * it lapses; aggregators join them while they hear of no holder.
 */
export function createCompetes(context: ResolutionContext): () => boolean {
  const clock = context.get(CLOCK);
  const known = context.get(KnownHosts);
  const reports = context.get(HostReports);
  let heardMs = clock.monotonicMs();
  return () => {
    if (!known.isLarge() || isTableReader(known)) {
      return true;
    }
    if (reports.hearsHolder()) {
      heardMs = clock.monotonicMs();
      return false;
    }
    const isLeftAlone = clock.monotonicMs() - heardMs > LEFT_ALONE_MS;
    return known.isAggregator() || isLeftAlone;
  };
}
