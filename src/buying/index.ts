/** Provisioning: which servers and hosts to order, by price, reclaim rate and demand. */
export {Buyer, OrderOutcome} from './buyer.js';
export type {ProvisionerOptions, OrderServers, ServerOrder} from './buyer.js';
export {decideBuying, getHourlyCost} from './decide_buying.js';
export type {Demand, Holding, Offer, HostOrder} from './decide_buying.js';
export {planFleet} from './plan_fleet.js';
export type {
  CentreOrder,
  CentreServers,
  FleetRequirements,
} from './plan_fleet.js';
export {StartBackoff} from './start_backoff.js';
export type {ServiceWork} from './service_work.js';
