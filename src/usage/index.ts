/** Usage: counts of each customer's requests, reported once per window. */
export {HostUsage} from './host_usage.js';
export {ReferenceTime} from './reference_time.js';
export {UsageLedger} from './usage_ledger.js';
export type {UsageCounts, WindowUsage} from './usage_ledger.js';
export {UsageReporter} from './usage_reporter.js';
export type {SendUsage, UsageReporterOptions} from './usage_reporter.js';
