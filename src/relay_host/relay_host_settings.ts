import {QuotaBound} from '../quota/index.js';
import {ExposureBound} from '../rollout/index.js';

/** Settings of an entry host that relays requests. */
export interface RelayHostSettings {
  readonly host: string;
  readonly dataCentre: string;
  /** Processor share that this host has, in cores. */
  readonly capacity: number;
  /** IP number and port that callers connect to. */
  readonly callersAddress: string;
  /** IP number and port that is asked whether the host takes channels. */
  readonly readyAddress: string;
  /** IP number and port that peers connect to. */
  readonly peersAddress: string;
  readonly metricsAddress: string;
  /** Addresses of some peers; these may be stale. */
  readonly seeds: readonly string[];
  /**
   * Time in which a new configuration, and a server that leaves, has to be known
   * on every host, in milliseconds.
   */
  readonly newsMs: number;
  /** Time between the request to stop and the kill, in milliseconds. */
  readonly graceMs: number;
  /** Retries allowed per request. */
  readonly retryRatio: number;
  /** Span in which retries are counted, in milliseconds. */
  readonly retryWindowMs: number;
  /** Retries allowed in a span besides, over all hosts. */
  readonly retrySlack: number;
  /** How long a duty is held without renewal, in milliseconds. */
  readonly leaseMs: number;
  readonly quota: QuotaBound;
  /** What a bad version may get of its service's requests. */
  readonly exposure: ExposureBound;
  /** Whether usage is to be reported. */
  readonly reportsUsage: boolean;
  /** Whether servers are to be ordered. */
  readonly ordersServers: boolean;
  readonly usageWindowMs: number;
  readonly usageLateMs: number;
}
