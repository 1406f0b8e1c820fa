import {PeerIdentity} from '../peer/index.js';
import {Quota, Spending} from '../quota/index.js';
import {Clock} from '../time/index.js';
import {Fleet} from '../fleet/index.js';
import {HostAddress} from './host_address.js';
import {HostReports, HostWord} from './host_reports.js';
import {HostWork} from './host_work.js';
import {KnownHosts} from './known_hosts.js';
import {ToldHosts} from './told_hosts.js';
import {subtractWork} from './work_sum.js';
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

/** What is the same in summaries of one moment for all who get them. */
interface SummaryBase {
  readonly madeMs: number;
  readonly hops: number;
  readonly work: HostWork;
  /** What is summed up of hosts that told it themselves, by host. */
  readonly words: ReadonlyMap<string, HostWord>;
  readonly members: readonly HostAddress[];
  readonly membersVersion: number;
  readonly spending: readonly Spending[];
  readonly holdsDuties: boolean;
}

/**
 * Time from the start, or from a pause, after which a host can sum up what others
 * do, in milliseconds: by then each has told it once.
 */
const LEARN_MS = 1200;
/** Shared parts shorter than this are not told of many hosts, in tokens. */
const MIN_PART_TOKENS = 1024;
/**
 * Age up to which a sum is told to further hosts, in milliseconds: less than half
 * a heartbeat, so that of many hosts' heartbeats few make a sum. At 195 hosts the
 * answer to one takes 0.3 ms of an aggregator, 1.3 ms with a sum for each.
 */
const SUM_MS = 150;

/** Makes the summaries by which many hosts hear of each other through a few. */
export class SummaryWords {
  private readonly toldHere: ToldHosts;
  private readonly toldAll: ToldHosts;
  private sequence = 0;
  private learntMs: number;
  private centre: SummaryBase | undefined;
  private all: SummaryBase | undefined;

  constructor(private readonly options: SummaryWordsOptions) {
    this.toldHere = new ToldHosts(options.clock);
    this.toldAll = new ToldHosts(options.clock);
    this.learntMs = options.clock.monotonicMs() + LEARN_MS;
  }

  /** Notes that all that was heard is forgotten. */
  startAnew(): void {
    this.learntMs = this.options.clock.monotonicMs() + LEARN_MS;
    this.centre = undefined;
    this.all = undefined;
  }

  /**
   * Sums up this data centre for an aggregator of another one.
   * @param acknowledged - Number of the list of hosts that it knows.
   */
  createCentre(acknowledged: number | undefined): WorkSummary {
    if (this.centre === undefined || this.isOld(this.centre)) {
      this.centre = this.sumCentre();
    }
    const base = this.centre;
    return this.create(base, base.work, base.spending, acknowledged);
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
    if (this.options.clock.monotonicMs() < this.learntMs) {
      return undefined;
    }
    if (this.all === undefined || this.isOld(this.all)) {
      this.all = this.sumAll();
    }
    const base = this.all;
    const word = base.words.get(peer.host);
    const work =
      word === undefined
        ? base.work
        : subtractWork(base.work, word.work, word.ageMs);
    const itself = this.options.quota.listSpendingOf(
      `${peer.host}/${peer.incarnation}`,
    );
    const spending = subtractSpending(base.spending, itself);
    const summary = this.create(base, work, spending, acknowledged);
    // The list is the same for all, and so may have the receiver in it.
    const isListed = base.members.some(({host}) => host === peer.host);
    return {...summary, hosts: summary.hosts - (isListed ? 1 : 0)};
  }

  private sumCentre(): SummaryBase {
    const {self, known, reports, quota, holdsDuties} = this.options;
    const members = [self, ...known.listHeardHere()];
    const sum = reports.sumHere();
    sum.add(this.getOwnWork(), 0);
    const here = new Set(members.map(({host}) => host));
    return {
      madeMs: this.options.clock.monotonicMs(),
      hops: 0,
      work: sum.get(),
      words: new Map(),
      members,
      membersVersion: this.toldHere.getVersion(members),
      spending: quota.sumSpending(origin => here.has(getHost(origin))),
      holdsDuties: holdsDuties() || reports.hearsHolderHere(),
    };
  }

  private sumAll(): SummaryBase {
    const {self, known, reports, quota, holdsDuties} = this.options;
    const told = known.isAggregator() ? undefined : reports.sumTold();
    const sum = told ?? reports.sumVouched();
    sum.add(this.getOwnWork(), 0);
    const isTold = told !== undefined;
    const others = isTold ? known.listAlive() : known.listVouched();
    const members = [self, ...others];
    // What an aggregator told has those in it that it heard of itself.
    const words = [...reports.listOwnWords()].filter(
      ([host]) => !isTold || known.isTold(host),
    );
    return {
      madeMs: this.options.clock.monotonicMs(),
      hops: isTold ? 1 : 0,
      work: sum.get(),
      words: new Map(words),
      members,
      membersVersion: this.toldAll.getVersion(members),
      spending: quota.sumSpending(() => true),
      holdsDuties: holdsDuties() || reports.hearsHolder(),
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
      spending: spending.map(({customer, units}) => [customer, units]),
    };
  }

  private isOld({madeMs}: SummaryBase): boolean {
    return this.options.clock.monotonicMs() - madeMs > SUM_MS;
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
}

/** Returns the host of an origin, which is a host and its start. */
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
