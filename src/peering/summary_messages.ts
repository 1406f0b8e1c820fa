import {PlacesInUse} from '../admission/index.js';
import {PeerIdentity} from '../peer/index.js';
import {Quota, Spending} from '../quota/index.js';
import {Clock} from '../time/index.js';
import {Fleet} from '../fleet/index.js';
import {HostAddress} from './host_address.js';
import {HostReports, SelfReport} from './host_reports.js';
import {HostWork} from './host_work.js';
import {KnownHosts} from './known_hosts.js';
import {HostListVersion} from './host_list_version.js';
import {createModelSection} from '../server_model/index.js';
import {optional} from './optional.js';
import {copyPlaces} from './sum_places.js';
import {subtractWork} from './work_sum.js';
import {WorkSummary} from './work_summary.js';

/** Dependencies of the summaries. */
export interface SummaryMessagesOptions {
  readonly self: HostAddress;
  readonly clock: Clock;
  readonly known: KnownHosts;
  readonly reports: HostReports;
  readonly fleet: Fleet;
  readonly quota: Quota;
  /** Returns this host's requests in flight; absent if they are not reported. */
  readonly listPlaces?: () => readonly PlacesInUse[];
  readonly holdsDuties: () => boolean;
}

/** The part of a summary that is the same for all receivers at one time. */
interface SummaryBase {
  readonly createdMs: number;
  readonly hops: number;
  readonly work: HostWork;
  /** Own reports of hosts that are included in the sum, by host. */
  readonly ownReports: ReadonlyMap<string, SelfReport>;
  readonly members: readonly HostAddress[];
  readonly membersVersion: number;
  readonly spending: readonly Spending[];
  readonly holdsDuties: boolean;
}

/**
 * Time after the start, or after a pause, before a host creates summaries of all hosts,
 * in milliseconds: by then each host has reported to it once.
 */
const LEARNING_MS = 1200;
/** Minimum length of a shared part of a prompt to be included in a summary, in tokens. */
const MIN_PART_TOKENS = 1024;
/**
 * Age up to which a sum is reused for further hosts, in milliseconds: less than half a
 * heartbeat interval, but long enough that few of many hosts' heartbeats compute a sum.
 * At 195 hosts, a reply takes an aggregator 0.3 ms, and 1.3 ms with a sum for each.
 */
const MAX_SUM_AGE_MS = 150;

/** Creates the summaries by which many hosts learn of each other through a few. */
export class SummaryMessages {
  private readonly centreListVersion: HostListVersion;
  private readonly allListVersion: HostListVersion;
  private sequence = 0;
  private readyMs: number;
  private centre: SummaryBase | undefined;
  private all: SummaryBase | undefined;

  constructor(private readonly options: SummaryMessagesOptions) {
    this.centreListVersion = new HostListVersion(options.clock);
    this.allListVersion = new HostListVersion(options.clock);
    this.readyMs = options.clock.monotonicMs() + LEARNING_MS;
  }

  /** Discards the sums after all reports were dropped, and waits for new reports. */
  reset(): void {
    this.readyMs = this.options.clock.monotonicMs() + LEARNING_MS;
    this.centre = undefined;
    this.all = undefined;
  }

  /**
   * Creates the summary of this data centre for an aggregator of another one.
   * @param acknowledged - Version of the list of hosts that the receiver has.
   */
  createCentre(acknowledged: number | undefined): WorkSummary {
    if (this.centre === undefined || this.isOld(this.centre)) {
      this.centre = this.sumCentre();
    }
    const base = this.centre;
    return this.create(base, base.work, base.spending, acknowledged);
  }

  /**
   * Creates the summary of all hosts except the receiver; `undefined` while this host
   * cannot yet have received all reports.
   * @param peer - The receiver.
   * @param acknowledged - Version of the list of hosts that the receiver has.
   */
  createAll(
    peer: PeerIdentity,
    acknowledged: number | undefined,
  ): WorkSummary | undefined {
    if (this.options.clock.monotonicMs() < this.readyMs) {
      return undefined;
    }
    if (this.all === undefined || this.isOld(this.all)) {
      this.all = this.sumAll();
    }
    const base = this.all;
    const ownReport = base.ownReports.get(peer.host);
    const work =
      ownReport === undefined
        ? base.work
        : subtractWork(base.work, ownReport.work, ownReport.ageMs);
    const ownSpending = this.options.quota.listSpendingOf(
      `${peer.host}/${peer.incarnation}`,
    );
    const spending = subtractSpending(base.spending, ownSpending);
    const summary = this.create(base, work, spending, acknowledged);
    // The list is the same for all receivers, and so may include this one.
    const isListed = base.members.some(({host}) => host === peer.host);
    return {...summary, hosts: summary.hosts - (isListed ? 1 : 0)};
  }

  private sumCentre(): SummaryBase {
    const {self, known, reports, quota, holdsDuties} = this.options;
    const members = [self, ...known.listReportingInOwnCentre()];
    const sum = reports.sumOwnCentre();
    sum.add(this.getOwnWork(), 0);
    const here = new Set(members.map(({host}) => host));
    return {
      createdMs: this.options.clock.monotonicMs(),
      hops: 0,
      work: sum.get(),
      ownReports: new Map(),
      members,
      membersVersion: this.centreListVersion.getVersion(members),
      spending: quota.sumSpending(origin => here.has(getHost(origin))),
      holdsDuties: holdsDuties() || reports.knowsHolderInOwnCentre(),
    };
  }

  private sumAll(): SummaryBase {
    const {self, known, reports, quota, holdsDuties} = this.options;
    const forwarded = known.isAggregator()
      ? undefined
      : reports.sumForForwarding();
    const sum = forwarded ?? reports.sumConfirmed();
    sum.add(this.getOwnWork(), 0);
    const isForwarded = forwarded !== undefined;
    const others = isForwarded ? known.listAlive() : known.listConfirmed();
    const members = [self, ...others];
    // A forwarded summary includes only the hosts on its aggregator's list.
    const ownReports = [...reports.listSelfReports()].filter(
      ([host]) => !isForwarded || known.isInListOfAll(host),
    );
    return {
      createdMs: this.options.clock.monotonicMs(),
      hops: isForwarded ? 1 : 0,
      work: sum.get(),
      ownReports: new Map(ownReports),
      members,
      membersVersion: this.allListVersion.getVersion(members),
      spending: quota.sumSpending(() => true),
      holdsDuties: holdsDuties() || reports.knowsHolder(),
    };
  }

  private create(
    base: SummaryBase,
    work: HostWork,
    spending: readonly Spending[],
    acknowledged: number | undefined,
  ): WorkSummary {
    const {hops, members, membersVersion, holdsDuties} = base;
    return {
      hops,
      holdsDuties,
      sequence: ++this.sequence,
      hosts: members.length,
      membersVersion,
      ...(acknowledged === membersVersion ? {} : {members: [...members]}),
      loads: work.loads.map(({server, running, prefill}) => [
        server,
        running,
        prefill.map(({urgency, tokens}): [number, number] => [urgency, tokens]),
      ]),
      parts: work.parts
        .filter(([, , tokens]) => tokens >= MIN_PART_TOKENS)
        .map(([server, part, tokens]) => [server, part, tokens]),
      prefill: work.prefill.map(([name, rate]) => [name, rate]),
      demands: work.demands.map(([name, rate]) => [name, rate]),
      ...optional('places', copyPlaces(work.places)),
      spending: spending.map(({customer, units}) => [customer, units]),
      ...optional('model', work.model && createModelSection(work.model)),
    };
  }

  private isOld({createdMs}: SummaryBase): boolean {
    return this.options.clock.monotonicMs() - createdMs > MAX_SUM_AGE_MS;
  }

  private getOwnWork(): HostWork {
    const {fleet, quota, listPlaces} = this.options;
    const toRate = ({
      customer,
      perSecond,
    }: {
      customer: string;
      perSecond: number;
    }): [string, number] => [customer, perSecond];
    return {
      loads: fleet.listOwnLoads(),
      parts: fleet
        .listSentParts()
        .map(({server, part}) => [server, part.id, part.tokens]),
      prefill: fleet.listPrefillRates().map(toRate),
      demands: quota.listDemand().map(toRate),
      places: listPlaces?.() ?? [],
      ...optional('model', fleet.listModelSums()),
    };
  }
}

/** Returns the host of an origin, which consists of a host and its incarnation. */
function getHost(origin: string): string {
  return origin.slice(0, origin.lastIndexOf('/'));
}

function subtractSpending(
  whole: readonly Spending[],
  part: ReadonlyMap<string, number>,
): Spending[] {
  return whole.map(({customer, units}) => ({
    customer,
    units: Math.max(0, units - (part.get(customer) ?? 0)),
  }));
}
