import {Account, Catalog, Route} from './catalog.js';

/** A catalog with indexes for look-ups. */
export class CatalogView {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly accountsByKey = new Map<string, Account>();

  constructor(readonly catalog: Catalog) {
    for (const route of catalog.routes) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const account of catalog.accounts) {
      for (const key of account.keys) {
        this.accountsByKey.set(key, account);
      }
    }
  }

  /**
   * Finds the route of a request: the one of its host with the longest matching prefix.
   * @param host - Host name as the caller sent it; case and port are ignored.
   * @param path - Path, with or without a query.
   */
  getRoute(host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    const bare = path.split('?', 1)[0] ?? '';
    for (const route of this.routesByHost.get(name) ?? []) {
      if (bare.startsWith(route.prefix)) {
        return route;
      }
    }
    return undefined;
  }

  /** Finds the customer to whom a key belongs. */
  getAccount(key: string): Account | undefined {
    return this.accountsByKey.get(key);
  }
}
