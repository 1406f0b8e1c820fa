import {CatalogStore, CatalogView, Route} from '../catalog/index.js';
import {RelayRequest} from './relay_request.js';

/** What the streams of a service compete for: its ranks and its shortest target. */
export interface StreamRanks {
  /** Ranks of the streaming routes that lead to the service, the most urgent first. */
  readonly urgencies: readonly number[];
  /** Shortest target of these routes, in milliseconds. */
  readonly shortestTargetMs: number;
}

/** Finds the ranks of a service's streaming routes in the catalog in effect. */
export class ServiceRanks {
  private view: CatalogView | undefined;
  private readonly ranks = new Map<string, StreamRanks>();

  constructor(private readonly catalog: Pick<CatalogStore, 'getView'>) {}

  /** Returns the ranks of a service; without any route, no ranks. */
  get(service: string): StreamRanks {
    const view = this.catalog.getView();
    if (view !== this.view) {
      this.view = view;
      this.ranks.clear();
    }
    const known = this.ranks.get(service);
    if (known !== undefined) {
      return known;
    }
    const ranks = collect(service, view?.catalog.routes ?? []);
    this.ranks.set(service, ranks);
    return ranks;
  }
}

/**
 * Returns how many ranks of a service are more urgent than a request. All ranks of a more
 * urgent customer come before those of a less urgent one.
 */
export function countMoreUrgent(
  {route, account}: Pick<RelayRequest, 'route' | 'account'>,
  urgencies: readonly number[],
): number {
  const byRoute = urgencies.filter(urgency => urgency < route.urgency).length;
  return byRoute + (account?.urgency ?? 0) * urgencies.length;
}

function collect(service: string, routes: readonly Route[]): StreamRanks {
  const urgencies = new Set<number>();
  let shortestTargetMs = Number.POSITIVE_INFINITY;
  for (const {split, streaming, urgency, targetMs} of routes) {
    if (streaming && split.some(part => part.service === service)) {
      urgencies.add(urgency);
      shortestTargetMs = Math.min(shortestTargetMs, targetMs);
    }
  }
  return {
    urgencies: [...urgencies].sort((a, b) => a - b),
    shortestTargetMs,
  };
}
