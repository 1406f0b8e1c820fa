/** Whether this host reaches the servers of each service. */
export {ServiceReachability} from './service_reachability.js';
export type {
  ReachableServer,
  ServiceReachabilityOptions,
} from './service_reachability.js';
