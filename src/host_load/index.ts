/** Load of this host itself: its measurement, and which requests are refused because of it. */
export {afterPoll} from './after_poll.js';
export {decideAcceptance, RefusalReason} from './decide_acceptance.js';
export type {ArrivingRequest, HostLoadFigures} from './decide_acceptance.js';
export {HostLoad} from './host_load.js';
export type {
  Arrival,
  HostLoadOptions,
  HostRefusal,
  TrackedArrival,
} from './host_load.js';
export {PendingConnections} from './pending_connections.js';
export {weighCustomer} from './weigh_customer.js';
export type {WeightedCustomer} from './weigh_customer.js';
