/** Membership: which entry hosts live, and which hosts are leaving. */
export * from './host_status.js';
export {LeavingHosts} from './leaving_hosts.js';
export {Membership} from './membership.js';
export type {KnownHost, MembershipOptions} from './membership.js';
