/** Durable counts: usage and spending in the table, so that they outlive all hosts. */
export {chooseInterval} from './choose_interval.js';
export {DurableCounts} from './durable_counts.js';
export type {DurableCountsOptions} from './durable_counts.js';
