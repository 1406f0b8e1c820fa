/** Provisioning: which servers and hosts to order, by price, reclaim rate and demand. */
export {Provisioner, OrderOutcome} from './provisioner.js';
export type {
  ProvisionerOptions,
  OrderServers,
  ServerOrder,
} from './provisioner.js';
export {planHostOrders, getHourlyCost} from './plan_host_orders.js';
export type {Demand, Holding, Offer, HostOrder} from './plan_host_orders.js';
export {planFleet} from './plan_fleet.js';
export type {
  CentreOrder,
  CentreServers,
  FleetRequirements,
} from './plan_fleet.js';
export {StartBackoff} from './start_backoff.js';
export type {ServiceWork} from './service_work.js';
