import {Problem, problems} from '../errors/index.js';
import {Account, Route} from './catalog.js';
import {CatalogView} from './catalog_view.js';

/** Where a request goes, and whose it is. */
export interface Target {
  readonly route: Route;
  /** Absent where callers need no key. */
  readonly account?: Account;
}

/** What a request says of where it goes. */
export interface TargetQuestion {
  /** Host name as the caller sent it. */
  readonly host: string;
  readonly path: string;
  /** Key of its customer; empty for none. */
  readonly key: string;
}

/**
 * Finds a request's route and customer.
 * @param view - The catalog in force.
 * @param question - What the request says.
 * @returns The target, or why the request is not taken.
 */
export function findTarget(
  view: CatalogView,
  {host, path, key}: TargetQuestion,
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
