import {QuotaBound} from '../quota/index.js';
import {ExposureBound} from '../rollout/index.js';

/** Settings of an entry host that relays requests. */
export interface RelayHostSettings {
  readonly host: string;
  readonly dataCentre: string;
  /** Share of the processor that this host may use, in cores. */
  readonly capacity: number;
  /** Speed of this host's network link in Mbit/s; absent if it is not known. */
  readonly linkMbps?: number;
  /** Memory of this host's machine, in bytes; absent if it is not known. */
  readonly memoryBytes?: number;
  /** Descriptors that the process may open; absent if it is not known. */
  readonly descriptors?: number;
  /** IP address and port that callers connect to. */
  readonly callersAddress: string;
  /** IP address and port at which the host reports whether it accepts connections. */
  readonly readyAddress: string;
  /** IP address and port that peers connect to. */
  readonly peersAddress: string;
  /** IP address and port at which other hosts forward requests to this one. */
  readonly forwardingAddress: string;
  readonly metricsAddress: string;
  /** Addresses of some peers; they may be stale. */
  readonly seeds: readonly string[];
  /**
   * Time within which every host must know of a new configuration and of a server that
   * leaves, in milliseconds.
   */
  readonly propagationMs: number;
  /** Time between the request to stop and the killing of the process, in milliseconds. */
  readonly graceMs: number;
  /** Retries allowed per request, on average over `retryWindowMs`. */
  readonly retryRatio: number;
  /** Window in which retries are counted, in milliseconds. */
  readonly retryWindowMs: number;
  /** Further retries allowed in a window, over all hosts. */
  readonly retrySlack: number;
  /** How long a duty is held without renewal, in milliseconds. */
  readonly leaseMs: number;
  readonly quota: QuotaBound;
  /**
   * Whether servers of a further version serve only once an order names it. Otherwise servers
   * of several versions may serve side by side.
   */
  readonly ordersVersions: boolean;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  /** Bound on the part of its service's requests that a bad version may get. */
  readonly exposure: ExposureBound;
  /** Whether usage is to be reported. */
  readonly reportsUsage: boolean;
  /** Whether servers are to be ordered. */
  readonly ordersServers: boolean;
  /** Duration of the windows in which usage is counted, in milliseconds. */
  readonly usageWindowMs: number;
  /**
   * Time after the end of a window from which its usage report is too late, in
   * milliseconds.
   */
  readonly usageLateMs: number;
}
