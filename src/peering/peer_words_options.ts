import {Fleet} from '../fleet/index.js';
import {ServerLimits} from '../limits/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Peers} from '../peer/index.js';
import {Quota} from '../quota/index.js';
import {Quarantine} from '../quarantine/index.js';
import {RowReplica} from '../replica/index.js';
import {RolloutAnswer, RolloutQuestionMessage} from '../rollout/index.js';
import {Clock} from '../time/index.js';
import {HostUsage, TrueTime, UsageLedger} from '../usage/index.js';
import {HostAddress} from './host_address.js';
import {HostReports} from './host_reports.js';
import {KnownHosts} from './known_hosts.js';
import {ReadAge} from './read_age.js';

/** What hosts tell each other is made of. */
export interface PeerWordsOptions {
  readonly self: HostAddress;
  /** Differs for every start of the process. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly known: KnownHosts;
  readonly reports: HostReports;
  readonly readAge: ReadAge;
  readonly fleet: Fleet;
  readonly quota: Quota;
  readonly limits: ServerLimits;
  readonly quarantine: Quarantine;
  readonly ledger: UsageLedger;
  readonly hostUsage: HostUsage;
  readonly trueTime: TrueTime;
  /** Tables of which hosts tell each other news, by name. */
  readonly replicas: ReadonlyMap<string, RowReplica>;
  /**
   * Answers a host in a roll-out.
   * @param question - What it tells.
   * @param origin - The host, and its start.
   */
  readonly answerRollout: (
    question: RolloutQuestionMessage,
    origin: string,
  ) => RolloutAnswer;
  readonly isStopping: () => boolean;
  readonly holdsDuties: () => boolean;
  readonly requestPeer: Peers['request'];
  readonly listConnected: Peers['listConnected'];
}
