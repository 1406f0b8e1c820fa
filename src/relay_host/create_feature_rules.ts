import {CatalogStore} from '../catalog/index.js';
import {Feature, FeatureRules} from '../features/index.js';
import {KnownHosts} from '../peering/index.js';
import {RelayHostSettings} from './relay_host_settings.js';

/**
 * Link speed below which one large configuration takes a considerable part of the time
 * within which it must be in force, in Mbit/s: 4 MiB take 0.34 s at this speed.
 */
const THIN_LINK_MBPS = 100;
/** Customers with rates from which they compete for the places of servers. */
const MIN_COMPETING_CUSTOMERS = 2;

/** Facts about the deployment on which the rules depend. */
export interface DeploymentFacts {
  readonly getSettings: () => RelayHostSettings;
  readonly catalog: Pick<CatalogStore, 'getView'>;
  readonly known: Pick<KnownHosts, 'isLargeFleet'>;
}

/** Creates the rules that switch features on where the deployment calls for them. */
export function createFeatureRules(facts: DeploymentFacts): FeatureRules {
  const {getSettings, catalog, known} = facts;
  const isLargeFleet = () => known.isLargeFleet();
  return {
    [Feature.CONNECTION_REUSE]: isLargeFleet,
    [Feature.BULK_TRANSFER]: () => {
      const {linkMbps = Number.POSITIVE_INFINITY} = getSettings();
      return linkMbps < THIN_LINK_MBPS || isLargeFleet();
    },
    // Predicts more accurately, but answers no more requests in time so far, and takes hosts
    // several milliseconds of processor time a second, so operators have to ask for it.
    [Feature.SERVER_MODEL]: () => false,
    // Refuses less urgent requests where urgent ones gain nothing from it so far, so operators
    // have to ask for it.
    [Feature.FAIR_PLACES]: () => false,
    // In a small fleet, a host's share of a rate holds several large requests.
    [Feature.URGENT_RESERVE]: () =>
      isLargeFleet() &&
      countLimitedCustomers(catalog) >= MIN_COMPETING_CUSTOMERS,
    // Refuses requests that a host slowed down by its surroundings would still answer in
    // time, so operators have to ask for it.
    [Feature.HOST_OVERLOAD]: () => false,
    [Feature.DURABLE_COUNTS]: () => getSettings().reportsUsage,
  };
}

function countLimitedCustomers(catalog: Pick<CatalogStore, 'getView'>): number {
  const accounts = catalog.getView()?.catalog.accounts ?? [];
  return accounts.filter(({rate}) => rate.perSecond > 0).length;
}
