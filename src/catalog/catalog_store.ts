import {Log} from '../log/index.js';
import {Catalog} from './catalog.js';
import {CatalogView} from './catalog_view.js';

/** Called with each catalog that takes effect. */
export type CatalogListener = (view: CatalogView) => void;

/** Holds the catalog in effect on this host; its version never decreases. */
export class CatalogStore {
  private view: CatalogView | undefined;
  private readonly listeners: CatalogListener[] = [];

  constructor(private readonly log: Log) {}

  /** Returns the catalog in effect; absent before any is known. */
  getView(): CatalogView | undefined {
    return this.view;
  }

  /** Returns the version in effect; 0 before any is known. */
  getVersion(): number {
    return this.view?.catalog.version ?? 0;
  }

  /** Adds a function that is called for each catalog that takes effect. */
  addListener(listener: CatalogListener): void {
    this.listeners.push(listener);
  }

  /**
   * Puts a catalog into effect if it is newer.
   * @param catalog - The received catalog.
   * @param source - Where it came from, for the log.
   */
  offer(catalog: Catalog, source: string): void {
    const before = this.getVersion();
    if (catalog.version <= before) {
      return;
    }
    this.view = new CatalogView(catalog);
    this.log.info('catalog_in_force', {
      version: catalog.version,
      before,
      source,
      routes: catalog.routes.length,
    });
    for (const listener of this.listeners) {
      listener(this.view);
    }
  }
}
