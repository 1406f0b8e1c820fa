import {Problem, problems} from '../errors/index.js';
import {Account, Route} from './catalog.js';
import {CatalogView} from './catalog_view.js';

/** Route and customer of a request. */
export interface Target {
  readonly route: Route;
  /** Absent if callers need no key. */
  readonly account?: Account;
}

/** Properties of a request that determine its route and customer. */
export interface TargetQuery {
  /** Host name as the caller sent it. */
  readonly host: string;
  readonly path: string;
  /** API key of its customer; empty for none. */
  readonly key: string;
}

/**
 * Finds a request's route and customer.
 * @param view - The catalog in effect.
 * @param query - Properties of the request.
 * @returns The target, or the reason why the request is refused.
 */
export function findTarget(
  view: CatalogView,
  {host, path, key}: TargetQuery,
): Target | Problem {
  const route = view.getRoute(host, path);
  if (route === undefined) {
    return problems.routeMissing(host);
  }
  if (route.isPublic || view.catalog.accounts.length === 0) {
    return {route};
  }
  const account = view.getAccount(key);
  return account === undefined ? problems.keyUnknown() : {route, account};
}
