import {z} from 'zod';
import {ChangeWords} from '../changes/index.js';
import {createLimitWords, LimitPage} from '../limits/index.js';
import {PeerIdentity} from '../peer/index.js';
import {createSuspectWords, SuspectPage} from '../quarantine/index.js';
import {rolloutQuestionSchema} from '../rollout/index.js';
import {HeardWords} from './heard_words.js';
import {
  Acknowledgement,
  acknowledgementSchema,
  HeartbeatReply,
  heartbeatReplySchema,
  HostReport,
  hostReportSchema,
} from './host_report.js';
import {optional} from './optional.js';
import {PauseWatch} from './pause_watch.js';
import {PeerWordsOptions} from './peer_words_options.js';
import {ReportWords} from './report_words.js';
import {RowWords, rowsSchema} from './row_words.js';
import {SummaryWords} from './summary_words.js';
import {UsageWords} from './usage_words.js';

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
  rolloutQuestionSchema,
]);

/**
 * What entry hosts tell each other, and what they do with it.
 *
 * Up to `KnownHosts.isLarge` every host tells every other. Beyond, a host tells the
 * aggregators of its data centre, which sum it up, tell each other across data
 * centres, and answer each host with what all the others do.
 */
export class PeerWords {
  private readonly summaries: SummaryWords;
  private readonly rows: RowWords;
  private readonly usage: UsageWords;
  private readonly reports: ReportWords;
  private readonly heard: HeardWords;
  private readonly suspects: ChangeWords<SuspectPage>;
  private readonly limits: ChangeWords<LimitPage>;
  private readonly pauses: PauseWatch;
  /** Hosts that want word of all, which get rows at once. */
  private readonly wanting = new Set<string>();

  constructor(private readonly options: PeerWordsOptions) {
    const {clock, self, incarnation} = options;
    options.metrics.addGauge(
      'tables_known_age_ms',
      'Time since this host or its peers read the tables that it serves by',
      () => toGaugeValue(options.readAge.getOldestMs()),
    );
    this.pauses = new PauseWatch(clock);
    this.heard = new HeardWords(options);
    this.suspects = createSuspectWords(options.quarantine);
    this.limits = createLimitWords(options.limits);
    this.summaries = new SummaryWords(options);
    this.rows = new RowWords({
      ...options,
      listReceivers: isFirst => this.listReceivers(isFirst),
    });
    this.usage = new UsageWords({
      ...options,
      origin: `${self.host}/${incarnation}`,
      listWitnesses: () => this.listWitnesses(),
    });
    const {rows, usage, summaries} = this;
    this.reports = new ReportWords(options, {rows, usage, summaries});
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
    const reply = acknowledgementSchema.safeParse(acknowledged).data;
    const suspects = this.suspects.create(peer, reply?.suspects);
    const report = this.createReport(peer, reply);
    return {
      kind: 'heartbeat',
      report: {
        ...report,
        ...optional('suspects', suspects),
        ...optional('limits', this.limits.create(peer, reply?.limits)),
      },
    };
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
      this.heard.refuse(peer, parsed.error.issues[0]?.message ?? '');
      return;
    }
    const {all, news, sharedMs, usualOffsetMs} = parsed.data;
    const {trueTime} = this.options;
    if (sharedMs !== undefined) {
      trueTime.addReading(sharedMs, sentMs);
    }
    if (usualOffsetMs !== undefined) {
      trueTime.addPeer(peer.host, usualOffsetMs);
    }
    this.heard.addAll(peer, all);
    this.heard.addCentre(peer, parsed.data.centre);
    this.rows.compare(peer.host, news ?? {}, sentMs);
    this.suspects.receive(peer, parsed.data.suspects);
    this.limits.receive(peer, parsed.data.limits);
  }

  /**
   * Answers a peer.
   * @param request - What it sent; not yet checked.
   * @param from - Who it is.
   */
  async handle(request: unknown, from: PeerIdentity): Promise<unknown> {
    const parsed = messageSchema.safeParse(request);
    if (!parsed.success) {
      this.heard.refuse(from, parsed.error.issues[0]?.message ?? '');
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
      case 'rollout':
        return this.options.answerRollout(
          message,
          `${from.host}/${from.incarnation}`,
        );
    }
  }

  /** Asks the hosts that know of a window's usage. */
  async gatherUsage(window: number): Promise<void> {
    await this.usage.gather(window);
  }

  /**
   * Passes on what is new in a replica to those who hear of it through this host.
   * @param replica - The replica.
   * @param wasRead - Whether it was read here, and not told by a peer.
   */
  passOnRows(replica: string, wasRead: boolean): void {
    if (this.options.known.isLarge()) {
      void this.rows.passOn(replica, wasRead);
    }
  }

  private createReport(
    peer: PeerIdentity,
    reply: Acknowledgement | undefined,
  ): HostReport {
    const {known, self} = this.options;
    if (!known.isLarge()) {
      return this.reports.createReport(reply);
    }
    return peer.dataCentre === self.dataCentre
      ? this.reports.createMemberReport(peer, reply === undefined)
      : this.reports.createCentreReport(peer, reply);
  }

  private createReply(report: HostReport, from: PeerIdentity): HeartbeatReply {
    return {
      ...this.reports.createReply(report, from),
      ...optional('suspects', this.suspects.create(from, report.suspects)),
      ...optional('limits', this.limits.create(from, report.limits)),
    };
  }

  private receive(report: HostReport, from: PeerIdentity): void {
    this.heard.addReport(report, from);
    this.suspects.receive(from, report.suspects);
    this.limits.receive(from, report.limits);
    if (report.wantsAll === true) {
      this.wanting.add(from.host);
    } else {
      this.wanting.delete(from.host);
    }
    this.rows.compare(from.host, report.news);
  }

  private listReceivers(isFirst: boolean): string[] {
    const far = new Set(isFirst ? this.listFarHosts() : []);
    return this.options
      .listConnected()
      .filter(host => this.wanting.has(host) || far.has(host));
  }

  /** Lists the hosts of other data centres that an aggregator is linked with. */
  private listFarHosts(): string[] {
    const {known, self} = this.options;
    if (!known.isAggregator()) {
      return [];
    }
    return known
      .listAddresses()
      .filter(({dataCentre}) => dataCentre !== self.dataCentre)
      .map(({host}) => host);
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
      this.options.readAge.forget();
      this.summaries.startAnew();
    }
  }
}

/** Rounds an age to whole milliseconds; returns NaN while it is unknown. */
function toGaugeValue(ms: number): number {
  return Number.isFinite(ms) ? Math.round(ms) : Number.NaN;
}
