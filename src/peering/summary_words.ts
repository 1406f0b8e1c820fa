import {PeerIdentity} from '../peer/index.js';
import {Quota, Spending} from '../quota/index.js';
import {Clock} from '../time/index.js';
import {Fleet} from '../fleet/index.js';
import {HostAddress} from './host_address.js';
import {HostReports} from './host_reports.js';
import {HostWork} from './host_work.js';
import {KnownHosts} from './known_hosts.js';
import {ToldHosts} from './told_hosts.js';
import {WorkSummary} from './work_summary.js';

/** What summaries are made of. */
export interface SummaryWordsOptions {
  readonly self: HostAddress;
  readonly clock: Clock;
  readonly known: KnownHosts;
  readonly reports: HostReports;
  readonly fleet: Fleet;
  readonly quota: Quota;
  readonly holdsDuties: () => boolean;
}

/**
 * Time from the start, or from a pause, after which a host can sum up what others
 * do, in milliseconds: by then each has told it once.
 */
const LEARN_MS = 1200;
/** Shared parts shorter than this are not told of many hosts, in tokens. */
const MIN_PART_TOKENS = 1024;
/** Age up to which the list of hosts is not made anew, in milliseconds. */
const LIST_MS = 200;

/** Makes the summaries by which many hosts hear of each other through a few. */
export class SummaryWords {
  private readonly toldHere: ToldHosts;
  private readonly toldAll: ToldHosts;
  private sequence = 0;
  private learntMs: number;
  private vouched: readonly HostAddress[] = [];
  private listedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: SummaryWordsOptions) {
    this.toldHere = new ToldHosts(options.clock);
    this.toldAll = new ToldHosts(options.clock);
    this.learntMs = options.clock.monotonicMs() + LEARN_MS;
  }

  /** Notes that all that was heard is forgotten. */
  startAnew(): void {
    this.learntMs = this.options.clock.monotonicMs() + LEARN_MS;
  }

  /**
   * Sums up this data centre for an aggregator of another one.
   * @param acknowledged - Number of the list of hosts that it knows.
   */
  createCentre(acknowledged: number | undefined): WorkSummary {
    const {self, known, reports, quota} = this.options;
    const members = [self, ...known.listHeardHere()];
    const sum = reports.sumHere();
    sum.add(this.getOwnWork(), 0);
    const here = new Set(members.map(({host}) => host));
    const spending = quota.sumSpending(origin => here.has(getHost(origin)));
    return this.create(sum.get(), members, this.toldHere, acknowledged, {
      hops: 0,
      spending: toPairs(spending),
      holdsDuties: this.options.holdsDuties() || reports.hearsHolderHere(),
    });
  }

  /**
   * Sums up all hosts but one, for that one; nothing while this host knows too
   * little of them.
   * @param peer - Whom it is for.
   * @param acknowledged - Number of the list of hosts that it knows.
   */
  createAll(
    peer: PeerIdentity,
    acknowledged: number | undefined,
  ): WorkSummary | undefined {
    const {self, clock, known, reports, quota} = this.options;
    if (clock.monotonicMs() < this.learntMs) {
      return undefined;
    }
    const told = known.isAggregator() ? undefined : reports.sumTold();
    const sum = told ?? reports.sumVouched();
    sum.add(this.getOwnWork(), 0);
    const own = reports.getOwnWord(peer.host);
    if (own !== undefined && (told === undefined || known.isTold(peer.host))) {
      sum.add(own.work, own.ageMs, -1);
    }
    const itself = `${peer.host}/${peer.incarnation}`;
    const spending = quota.sumSpending(origin => origin !== itself);
    // The list is the same for all, and so has the receiver in it.
    const others = told === undefined ? this.listVouched() : known.listAlive();
    const members = [self, ...others];
    const isListed = members.some(({host}) => host === peer.host);
    const summary = this.create(
      sum.get(),
      members,
      this.toldAll,
      acknowledged,
      {
        hops: told === undefined ? 0 : 1,
        spending: toPairs(spending),
        holdsDuties: this.options.holdsDuties() || reports.hearsHolder(),
      },
    );
    return {...summary, hosts: members.length - (isListed ? 1 : 0)};
  }

  private create(
    work: HostWork,
    members: readonly HostAddress[],
    told: ToldHosts,
    acknowledged: number | undefined,
    more: Pick<WorkSummary, 'hops' | 'spending' | 'holdsDuties'>,
  ): WorkSummary {
    const membersVersion = told.getVersion(members);
    return {
      ...more,
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
    };
  }

  private getOwnWork(): HostWork {
    const {fleet, quota} = this.options;
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
      prefill: fleet.listPrefill().map(toRate),
      demands: quota.listDemand().map(toRate),
    };
  }

  private listVouched(): readonly HostAddress[] {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.listedMs > LIST_MS) {
      this.vouched = this.options.known.listVouched();
      this.listedMs = nowMs;
    }
    return this.vouched;
  }
}

/** Returns the host of an origin, which is a host and its start. */
function getHost(origin: string): string {
  return origin.slice(0, origin.lastIndexOf('/'));
}

function toPairs(spending: readonly Spending[]): [string, number][] {
  return spending.map(({customer, units}) => [customer, units]);
}
