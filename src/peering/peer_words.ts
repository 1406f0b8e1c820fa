import {z} from 'zod';
import {Fleet} from '../fleet/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {PeerIdentity, Peers} from '../peer/index.js';
import {Counting, Quota} from '../quota/index.js';
import {RowReplica} from '../replica/index.js';
import {Clock} from '../time/index.js';
import {HostUsage, TrueTime, UsageLedger} from '../usage/index.js';
import {HostAddress} from './host_address.js';
import {
  HeartbeatReply,
  heartbeatReplySchema,
  HostReport,
  hostReportSchema,
} from './host_report.js';
import {HostReports} from './host_reports.js';
import {KnownHosts, MemberScope} from './known_hosts.js';
import {PauseWatch} from './pause_watch.js';
import {ReadAge} from './read_age.js';
import {RowWords, rowsSchema} from './row_words.js';
import {SummaryWords} from './summary_words.js';
import {ToldHosts} from './told_hosts.js';
import {UsageWords} from './usage_words.js';
import {WorkSummary} from './work_summary.js';

/** Age of word of all hosts beyond which every aggregator is asked, in ms. */
const WANTED_MS = 1000;
const REFUSED = 'peer_words_refused';

/** What hosts ask each other. */
const messageSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('heartbeat'), report: hostReportSchema}),
  z.object({
    kind: z.literal('news'),
    replica: z.string(),
    after: z.number().int().min(0),
  }),
  z.object({kind: z.literal('usage'), window: z.number().int().min(0)}),
  rowsSchema,
]);

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
  readonly ledger: UsageLedger;
  readonly hostUsage: HostUsage;
  readonly trueTime: TrueTime;
  /** Tables of which hosts tell each other news, by name. */
  readonly replicas: ReadonlyMap<string, RowReplica>;
  readonly isStopping: () => boolean;
  readonly holdsDuties: () => boolean;
  readonly requestPeer: Peers['request'];
  readonly listConnected: Peers['listConnected'];
}

/**
 * What entry hosts tell each other, and what they do with it.
 *
 * Up to `KnownHosts.isLarge` every host tells every other. Beyond, a host tells the
 * aggregators of its data centre, which sum it up, tell each other across data
 * centres, and answer each host with what all the others do.
 */
export class PeerWords {
  private readonly toldHosts: ToldHosts;
  private readonly summaries: SummaryWords;
  private readonly rows: RowWords;
  private readonly usage: UsageWords;
  private readonly pauses: PauseWatch;
  /** Hosts that want word of all, which get rows at once. */
  private readonly wanting = new Map<string, boolean>();
  /** Highest sequence of summaries, by the start that made them and its kind. */
  private readonly sequences = new Map<string, number>();

  constructor(private readonly options: PeerWordsOptions) {
    const {clock, self, incarnation} = options;
    options.metrics.addCounter(REFUSED, 'Words of peers that were refused');
    this.toldHosts = new ToldHosts(clock);
    this.pauses = new PauseWatch(clock);
    this.summaries = new SummaryWords(options);
    this.rows = new RowWords({
      ...options,
      listReceivers: () => this.listReceivers(),
    });
    this.usage = new UsageWords({
      ...options,
      origin: `${self.host}/${incarnation}`,
      listWitnesses: () => this.listWitnesses(),
    });
  }

  /**
   * Makes a heartbeat as it is now.
   * @param peer - Whom it is for.
   * @param acknowledged - The peer's last reply on this connection; `undefined`
   *   at first.
   */
  createHeartbeat(
    peer: PeerIdentity,
    acknowledged: unknown,
  ): z.input<typeof messageSchema> {
    this.noticePause();
    const reply = heartbeatReplySchema.safeParse(acknowledged).data;
    if (!this.options.known.isLarge()) {
      return {kind: 'heartbeat', report: this.createReport(reply)};
    }
    if (peer.dataCentre === this.options.self.dataCentre) {
      const isFirst = reply === undefined;
      return {
        kind: 'heartbeat',
        report: this.createMemberReport(peer, isFirst),
      };
    }
    return {kind: 'heartbeat', report: this.createCentreReport(peer, reply)};
  }

  /**
   * Takes in the reply to a heartbeat.
   * @param peer - Who replied.
   * @param body - The reply; not yet checked.
   * @param sentMs - When the heartbeat was sent, monotonic milliseconds.
   */
  receiveReply(peer: PeerIdentity, body: unknown, sentMs: number): void {
    const parsed = heartbeatReplySchema.safeParse(body);
    if (!parsed.success) {
      this.refuse(peer, parsed.error.issues[0]?.message ?? '');
      return;
    }
    const {all, news, readAgeMs, sharedMs, usualOffsetMs} = parsed.data;
    const {trueTime, readAge} = this.options;
    if (sharedMs !== undefined) {
      trueTime.addReading(sharedMs, sentMs);
    }
    if (usualOffsetMs !== undefined) {
      trueTime.addPeer(peer.host, usualOffsetMs);
    }
    if (readAgeMs !== undefined) {
      readAge.addTold(readAgeMs);
    }
    if (all !== undefined && this.isNext(peer, MemberScope.ALL, all)) {
      const goesOn = this.options.reports.addAll(peer, all);
      this.takeSummary(peer, MemberScope.ALL, all, goesOn);
    }
    this.takeCentre(peer, parsed.data.centre);
    this.rows.compare(peer.host, news ?? {});
  }

  /**
   * Answers a peer.
   * @param request - What it sent; not yet checked.
   * @param from - Who it is.
   */
  async handle(request: unknown, from: PeerIdentity): Promise<unknown> {
    const parsed = messageSchema.safeParse(request);
    if (!parsed.success) {
      this.refuse(from, parsed.error.issues[0]?.message ?? '');
      throw new Error('message not understood; run hosts of one release');
    }
    const message = parsed.data;
    switch (message.kind) {
      case 'heartbeat':
        this.noticePause();
        this.receive(message.report, from);
        return this.createReply(message.report, from);
      case 'usage':
        return this.usage.list(message.window);
      case 'news':
        return this.rows.listNews(message.replica, message.after);
      case 'rows':
        this.rows.receive(from.host, message);
        return {};
    }
  }

  /** Asks the hosts that know of a window's usage. */
  async gatherUsage(window: number): Promise<void> {
    await this.usage.gather(window);
  }

  /** Passes on what is new in a replica to those who hear of it through this host. */
  passOnRows(replica: string): void {
    if (this.options.known.isLarge()) {
      void this.rows.passOn(replica);
    }
  }

  /** What a host tells every other one, while there are few. */
  private createReport(reply: HeartbeatReply | undefined): HostReport {
    const hosts = this.options.known.listAddresses();
    const hostsVersion = this.toldHosts.getVersion(hosts);
    const isKnown = reply?.hostsVersion === hostsVersion;
    return {
      ...this.createOwnReport(reply === undefined),
      hosts: isKnown ? [] : hosts,
      hostsVersion,
    };
  }

  /** What a host tells an aggregator of its data centre. */
  private createMemberReport(peer: PeerIdentity, isFirst: boolean): HostReport {
    const {known, reports, self} = this.options;
    const [first] = known.rankAggregators(self.dataCentre);
    const isLacking = reports.getAgeOfAllMs() > WANTED_MS;
    return {
      ...this.createOwnReport(isFirst),
      wantsAll:
        first?.host !== self.host && (first?.host === peer.host || isLacking),
      ...optional('membersVersion', known.getMembersVersion(peer.host)),
    };
  }

  /** What an aggregator tells one of another data centre. */
  private createCentreReport(
    peer: PeerIdentity,
    reply: HeartbeatReply | undefined,
  ): HostReport {
    const {known, readAge} = this.options;
    const readAgeMs = readAge.getOwnMs();
    return {
      ...this.createEmptyReport(),
      ...optional('membersVersion', known.getMembersVersion(peer.host)),
      ...(known.isAggregator()
        ? {centre: this.summaries.createCentre(reply?.membersVersion)}
        : {}),
      ...(Number.isFinite(readAgeMs) ? {readAgeMs} : {}),
    };
  }

  private createEmptyReport(): HostReport {
    const {self, trueTime, isStopping, holdsDuties} = this.options;
    const offset = trueTime.readOwnOffset();
    return {
      address: self.address,
      ...optional('capacity', self.capacity),
      hosts: [],
      hostsVersion: 0,
      news: this.rows.listVersions(),
      loads: [],
      prefillByRank: [],
      parts: [],
      prefill: [],
      demands: [],
      spending: [],
      usage: [],
      holdsDuties: holdsDuties(),
      stopping: isStopping(),
      ...optional('timeOffsetMs', offset),
    };
  }

  private createOwnReport(isFirst: boolean): HostReport {
    const {fleet, quota} = this.options;
    const loads = fleet.listOwnLoads();
    return {
      ...this.createEmptyReport(),
      loads: loads.map(({server, running, prefill}) => [
        server,
        running,
        prefill.reduce((sum, {tokens}) => sum + tokens, 0),
      ]),
      prefillByRank: loads.flatMap(({server, prefill}) =>
        prefill.map(({urgency, tokens}): [string, number, number] => [
          server,
          urgency,
          tokens,
        ]),
      ),
      parts: fleet
        .listSentParts()
        .map(({server, part}) => [server, part.id, part.tokens]),
      prefill: fleet
        .listPrefill()
        .map(({customer, perSecond}) => [customer, perSecond]),
      demands: quota
        .listDemand()
        .map(({customer, perSecond}) => [customer, perSecond]),
      spending: quota
        .listSpending()
        .map(({customer, units}) => [customer, units]),
      usage: this.usage
        .listWindows(isFirst)
        .map(({window, counts}) => [window, {...counts}]),
    };
  }

  private receive(report: HostReport, from: PeerIdentity): void {
    const {known, reports, hostUsage, trueTime, quota} = this.options;
    const {host, dataCentre} = from;
    const {address, capacity} = report;
    known.addHeard({
      host,
      dataCentre,
      address,
      ...optional('capacity', capacity),
    });
    for (const other of report.hosts) {
      known.addAddress(other);
    }
    const origin = `${host}/${from.incarnation}`;
    if (report.centre === undefined) {
      const counting = reports.hearsOfAll() ? Counting.NONE : Counting.ALL;
      reports.addReport(from, report);
      quota.addPeerSpending(origin, toSpending(report.spending), counting);
      this.addParts(report.parts);
    }
    this.takeCentre(from, report.centre);
    hostUsage.add(
      origin,
      report.usage.map(([window, counts]) => ({window, counts})),
    );
    if (report.timeOffsetMs !== undefined) {
      trueTime.addPeer(host, report.timeOffsetMs);
    }
    if (report.readAgeMs !== undefined) {
      this.options.readAge.addTold(report.readAgeMs);
    }
    this.wanting.set(host, report.wantsAll === true);
    this.rows.compare(host, report.news);
  }

  private createReply(report: HostReport, from: PeerIdentity): HeartbeatReply {
    const {hostsVersion} = report;
    if (report.centre !== undefined) {
      return this.createCentreReply(report, from);
    }
    if (report.wantsAll === undefined) {
      return {hostsVersion};
    }
    const {trueTime, readAge} = this.options;
    const readAgeMs = readAge.getMs();
    const all = report.wantsAll
      ? this.summaries.createAll(from, report.membersVersion)
      : undefined;
    return {
      hostsVersion,
      news: this.rows.listVersions(),
      ...optional(MemberScope.ALL, all),
      ...(Number.isFinite(readAgeMs) ? {readAgeMs} : {}),
      ...optional('sharedMs', trueTime.readSharedMs()),
      ...optional('usualOffsetMs', trueTime.getUsualOffset()),
    };
  }

  private takeCentre(
    from: PeerIdentity,
    centre: WorkSummary | undefined,
  ): void {
    if (centre !== undefined && this.isNext(from, MemberScope.CENTRE, centre)) {
      const goesOn = this.options.reports.addCentre(from, centre);
      this.takeSummary(from, MemberScope.CENTRE, centre, goesOn);
    }
  }

  /**
   * What an aggregator replies to one of another data centre. One that it does
   * not tell itself, since it knows of another there, is told in reply.
   */
  private createCentreReply(
    {hostsVersion, membersVersion}: HostReport,
    from: PeerIdentity,
  ): HeartbeatReply {
    const {known} = this.options;
    const [first] = known.rankAggregators(from.dataCentre);
    const isTold = first?.host === from.host;
    return {
      hostsVersion,
      ...optional('membersVersion', known.getMembersVersion(from.host)),
      ...(isTold || !known.isAggregator()
        ? {}
        : {centre: this.summaries.createCentre(membersVersion)}),
    };
  }

  /** Takes in of a summary what is the same for every kind. */
  private takeSummary(
    from: PeerIdentity,
    kind: MemberScope,
    summary: WorkSummary,
    goesOn: boolean,
  ): void {
    const {known, quota} = this.options;
    const {membersVersion, members} = summary;
    known.addMembers(from.host, kind, membersVersion, members);
    this.addParts(summary.parts);
    quota.addPeerSpending(
      `${kind}:${from.host}/${from.incarnation}`,
      toSpending(summary.spending),
      goesOn ? Counting.LATER : Counting.NONE,
    );
  }

  /** Tells whether a summary is later than those its sender made before. */
  private isNext(
    from: PeerIdentity,
    kind: MemberScope,
    {sequence}: WorkSummary,
  ): boolean {
    const key = `${kind}:${from.host}/${from.incarnation}`;
    if (sequence <= (this.sequences.get(key) ?? 0)) {
      this.refuse(from, `summary ${sequence} came late`);
      return false;
    }
    this.sequences.set(key, sequence);
    return true;
  }

  private addParts(parts: HostReport['parts']): void {
    this.options.fleet.addPeerParts(
      parts.map(([server, id, tokens]) => ({server, part: {id, tokens}})),
    );
  }

  private listReceivers(): string[] {
    const {known, self} = this.options;
    const far = known.isAggregator()
      ? new Set(
          known
            .listAlive()
            .filter(({dataCentre}) => dataCentre !== self.dataCentre)
            .map(({host}) => host),
        )
      : new Set<string>();
    return this.options
      .listConnected()
      .filter(host => this.wanting.get(host) === true || far.has(host));
  }

  /** Each host while there are few; of many, those that their hosts tell. */
  private listWitnesses(): string[] {
    const {known, self} = this.options;
    if (!known.isLarge()) {
      return known.listAddresses().map(({host}) => host);
    }
    const first = known
      .listDataCentres()
      .map(dataCentre => known.rankAggregators(dataCentre)[0]?.host ?? '');
    return first.filter(host => host !== '' && host !== self.host);
  }

  /** What was heard before a pause that the steady clock has not counted is old. */
  private noticePause(): void {
    if (this.pauses.hasPaused()) {
      this.options.log.warn('pause_noticed', {forgets: 'word of peers'});
      this.options.reports.forget();
      this.options.known.forgetWord();
      this.summaries.startAnew();
    }
  }

  private refuse(from: PeerIdentity, detail: string): void {
    this.options.metrics.increment(REFUSED, {peer: from.host});
    this.options.log.warn(REFUSED, {peer: from.host, detail});
  }
}

function toSpending(
  told: readonly (readonly [string, number])[],
): {customer: string; units: number}[] {
  return told.map(([customer, units]) => ({customer, units}));
}

/** Makes a property that is left out where there is no value. */
function optional<Name extends string, Value>(
  name: Name,
  value: Value | undefined,
): Partial<Record<Name, Value>> {
  return value === undefined
    ? {}
    : ({[name]: value} as Partial<Record<Name, Value>>);
}
