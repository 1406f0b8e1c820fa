/** Leases with fencing numbers, for roles that one host holds at a time. */
export {Duty} from './duty.js';
export type {DutyOptions} from './duty.js';
export {Lease} from './lease.js';
export type {HeldLease, LeaseOptions} from './lease.js';
