/** Leases: roles that one host holds at a time, with fencing numbers. */
export {Lease} from './lease.js';
export type {HeldLease, LeaseOptions} from './lease.js';
