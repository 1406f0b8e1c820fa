import {CatalogStore, CatalogView} from '../catalog/index.js';

/** Shortest time for which a stream can be taken up, in milliseconds. */
const MIN_LIFE_MS = 20_000;
/** Longest time for which callers wait, as a multiple of the longest timeout of a stream. */
const LIFE_FACTOR = 2;

/**
 * For how long a stream can be taken up. It is needed for each stream that begins, and computed
 * once for each catalog, which may have thousands of routes.
 */
export class StreamLife {
  private lifeMs: number;

  /** @param catalog - The catalog in force, with the timeouts of streams. */
  constructor(catalog: Pick<CatalogStore, 'addListener' | 'getView'>) {
    this.lifeMs = computeLifeMs(catalog.getView());
    catalog.addListener(view => {
      this.lifeMs = computeLifeMs(view);
    });
  }

  /** Returns the time for which a stream can be taken up, in milliseconds. */
  getMs(): number {
    return this.lifeMs;
  }
}

function computeLifeMs(view: CatalogView | undefined): number {
  let longestMs = 0;
  for (const {streaming, timeoutMs} of view?.catalog.routes ?? []) {
    longestMs = streaming ? Math.max(longestMs, timeoutMs) : longestMs;
  }
  return Math.max(MIN_LIFE_MS, LIFE_FACTOR * longestMs);
}
