import {PlacesInUse} from '../admission/index.js';
import {Fleet} from '../fleet/index.js';
import {ServerLimits} from '../limits/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Peers} from '../peer/index.js';
import {Quota} from '../quota/index.js';
import {Quarantine} from '../quarantine/index.js';
import {RowReplica} from '../replica/index.js';
import {RolloutReply, RolloutReport} from '../rollout/index.js';
import {StreamVersions} from '../stream_versions/index.js';
import {Clock} from '../time/index.js';
import {BulkTransfer} from '../transfer/index.js';
import {HostUsage, ReferenceTime, UsageLedger} from '../usage/index.js';
import {HostAddress} from './host_address.js';
import {HostReports} from './host_reports.js';
import {KnownHosts} from './known_hosts.js';
import {ReadAge} from './read_age.js';

/** Dependencies of the messages between hosts. */
export interface PeerMessagesOptions {
  readonly self: HostAddress;
  /** Identifies this run of the process. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly known: KnownHosts;
  readonly reports: HostReports;
  /** Times at which the replicas last matched the tables. */
  readonly readAge: ReadAge;
  readonly fleet: Fleet;
  readonly quota: Quota;
  /** Returns this host's requests in flight; absent if they are not reported. */
  readonly listPlaces?: () => readonly PlacesInUse[];
  readonly limits: ServerLimits;
  readonly quarantine: Quarantine;
  readonly ledger: UsageLedger;
  readonly hostUsage: HostUsage;
  readonly referenceTime: ReferenceTime;
  /** Replicas of the tables whose updates hosts exchange, by name. */
  readonly replicas: ReadonlyMap<string, RowReplica>;
  /**
   * Answers a rollout message of a host.
   * @param report - The message.
   * @param origin - Host and incarnation of the sender.
   */
  readonly answerRollout: (
    report: RolloutReport,
    origin: string,
  ) => RolloutReply;
  readonly streamVersions: Pick<StreamVersions, 'answer' | 'receive'>;
  readonly isStopping: () => boolean;
  readonly holdsDuties: () => boolean;
  readonly requestPeer: Peers['request'];
  readonly listConnected: Peers['listConnected'];
  /** Transfers large rows; absent if this host does not. */
  readonly bulk?: BulkTransfer;
}
