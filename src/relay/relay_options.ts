import {ServerBackoffs} from '../backoff/index.js';
import {BrittleServices} from '../brittle/index.js';
import {CatalogStore} from '../catalog/index.js';
import {Fleet} from '../fleet/index.js';
import {ServerLimits} from '../limits/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {
  TerminatedServers,
  Quarantine,
  SenderRuns,
} from '../quarantine/index.js';
import {Quota} from '../quota/index.js';
import {Random} from '../random/index.js';
import {ServiceReachability} from '../reachability/index.js';
import {SharedRetryBudget} from '../retry_budget/index.js';
import {VersionSelector, VersionCounter} from '../rollout/index.js';
import {StreamVersions} from '../stream_versions/index.js';
import {Clock} from '../time/index.js';
import {UsageLedger} from '../usage/index.js';
import {CopyRun} from './copy_run.js';
import {Exchange, Forward} from './exchange.js';
import {PlaceAdmission} from './place_admission.js';

/** Dependencies of a `Relay`. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly catalog: CatalogStore;
  readonly fleet: Fleet;
  readonly quota: Quota;
  readonly limits: ServerLimits;
  readonly backoffs: ServerBackoffs;
  readonly brittle: BrittleServices;
  readonly quarantine: Quarantine;
  readonly retryBudget: Pick<
    SharedRetryBudget,
    'addRequest' | 'spend' | 'getState'
  >;
  readonly usageLedger: UsageLedger;
  readonly exchange: Exchange;
  readonly reachability: ServiceReachability;
  /** Sends requests by way of other hosts; if absent, none are. */
  readonly forward?: Forward;
  /** Returns whether a connection to a server is open and idle; by default, none is. */
  readonly hasIdleConnection?: (server: string) => boolean;
  readonly copyRun: CopyRun;
  readonly terminatedServers: TerminatedServers;
  readonly senderRuns: SenderRuns;
  readonly versionSelector: Pick<VersionSelector, 'select' | 'permits'>;
  readonly streamVersions: Pick<StreamVersions, 'begin' | 'find'>;
  readonly versionLedger: VersionCounter;
  /** Shares scarce places of servers; if absent, only the predicted wait decides. */
  readonly placeAdmission?: PlaceAdmission;
  /**
   * Lets events that wait in the kernel be handled; returns `undefined` if the event loop
   * is on time. By default, nothing is awaited.
   */
  readonly handlePendingEvents?: () => Promise<void> | undefined;
}
