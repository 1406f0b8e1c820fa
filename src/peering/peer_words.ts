import {z} from 'zod';
import {ChangeWords} from '../changes/index.js';
import {createLimitWords, LimitPage} from '../limits/index.js';
import {PeerIdentity} from '../peer/index.js';
import {createSuspectWords, SuspectPage} from '../quarantine/index.js';
import {rolloutQuestionSchema} from '../rollout/index.js';
import {ReportReceiver} from './report_receiver.js';
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
import {ReportMessages} from './report_messages.js';
import {RowMessages, rowsSchema} from './row_messages.js';
import {SummaryMessages} from './summary_messages.js';
import {UsageMessages} from './usage_messages.js';

/** Requests between hosts. */
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
 * Creates and processes the messages between entry hosts.
 *
 * In a small fleet every host reports to every other. In a large one (see
 * `KnownHosts.isLarge`), a host reports to the aggregators of its data centre. These sum
 * the reports, exchange the sums across data centres, and reply to each host with a
 * summary of all the others.
 */
export class PeerWords {
  private readonly summaries: SummaryMessages;
  private readonly rows: RowMessages;
  private readonly usage: UsageMessages;
  private readonly reports: ReportMessages;
  private readonly receiver: ReportReceiver;
  private readonly suspects: ChangeWords<SuspectPage>;
  private readonly limits: ChangeWords<LimitPage>;
  private readonly pauses: PauseWatch;
  /** Hosts that request the summary of all hosts; they are sent new rows at once. */
  private readonly summaryReceivers = new Set<string>();

  constructor(private readonly options: PeerWordsOptions) {
    const {clock, self, incarnation} = options;
    options.metrics.addGauge(
      'tables_known_age_ms',
      'Time since this host or its peers read the tables that it serves by',
      () => toGaugeValue(options.readAge.getOldestMs()),
    );
    this.pauses = new PauseWatch(clock);
    this.receiver = new ReportReceiver(options);
    this.suspects = createSuspectWords(options.quarantine);
    this.limits = createLimitWords(options.limits);
    this.summaries = new SummaryMessages(options);
    this.rows = new RowMessages({
      ...options,
      listReceivers: isFirst => this.listReceivers(isFirst),
    });
    this.usage = new UsageMessages({
      ...options,
      origin: `${self.host}/${incarnation}`,
      listSources: () => this.listUsageSources(),
    });
    const {rows, usage, summaries} = this;
    this.reports = new ReportMessages(options, {rows, usage, summaries});
  }

  /**
   * Creates a heartbeat with the current state.
   * @param peer - The receiver.
   * @param acknowledged - The peer's last reply on this connection; `undefined`
   *   at first.
   */
  createHeartbeat(
    peer: PeerIdentity,
    acknowledged: unknown,
  ): z.input<typeof messageSchema> {
    this.checkForPause();
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
   * Processes the reply to a heartbeat.
   * @param peer - The sender of the reply.
   * @param body - The reply; not yet validated.
   * @param sentMs - When the heartbeat was sent, monotonic milliseconds.
   */
  receiveReply(peer: PeerIdentity, body: unknown, sentMs: number): void {
    const parsed = heartbeatReplySchema.safeParse(body);
    if (!parsed.success) {
      this.receiver.refuse(peer, parsed.error.issues[0]?.message ?? '');
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
    this.receiver.addAll(peer, all);
    this.receiver.addCentre(peer, parsed.data.centre);
    this.rows.compare(peer.host, news ?? {}, sentMs);
    this.suspects.receive(peer, parsed.data.suspects);
    this.limits.receive(peer, parsed.data.limits);
  }

  /**
   * Answers a request of a peer.
   * @param request - The request; not yet validated.
   * @param from - The peer.
   */
  async handle(request: unknown, from: PeerIdentity): Promise<unknown> {
    const parsed = messageSchema.safeParse(request);
    if (!parsed.success) {
      this.receiver.refuse(from, parsed.error.issues[0]?.message ?? '');
      throw new Error(
        'peer message does not match the schema; run all hosts on the same release',
      );
    }
    const message = parsed.data;
    switch (message.kind) {
      case 'heartbeat':
        this.checkForPause();
        this.receive(message.report, from);
        return this.createReply(message.report, from);
      case 'usage':
        return this.usage.list(message.window);
      case 'news':
        return this.rows.listUpdates(message.replica, message.after);
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

  /** Requests the usage of a window from the hosts that know it. */
  async gatherUsage(window: number): Promise<void> {
    await this.usage.gather(window);
  }

  /**
   * Forwards new rows of a replica to the hosts that receive them through this host.
   * @param replica - Name of the replica.
   * @param wasRead - Whether the rows were read from the table by this host, rather than
   *   received from a peer.
   */
  passOnRows(replica: string, wasRead: boolean): void {
    if (this.options.known.isLarge()) {
      void this.rows.forward(replica, wasRead);
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
    this.receiver.addReport(report, from);
    this.suspects.receive(from, report.suspects);
    this.limits.receive(from, report.limits);
    if (report.wantsAll === true) {
      this.summaryReceivers.add(from.host);
    } else {
      this.summaryReceivers.delete(from.host);
    }
    this.rows.compare(from.host, report.news);
  }

  private listReceivers(isFirst: boolean): string[] {
    const far = new Set(isFirst ? this.listFarHosts() : []);
    return this.options
      .listConnected()
      .filter(host => this.summaryReceivers.has(host) || far.has(host));
  }

  /** Lists the hosts of other data centres, if this host is an aggregator. */
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

  /** Lists every other host, or in a large fleet the aggregator of each data centre. */
  private listUsageSources(): string[] {
    const {known, self} = this.options;
    if (!known.isLarge()) {
      return known.listAddresses().map(({host}) => host);
    }
    const first = known
      .listDataCentres()
      .map(dataCentre => known.rankAggregators(dataCentre)[0]?.host ?? '');
    return first.filter(host => host !== '' && host !== self.host);
  }

  /** Discards what peers reported if the monotonic clock has missed a pause since. */
  private checkForPause(): void {
    if (this.pauses.hasPaused()) {
      this.options.log.warn('pause_noticed', {forgets: 'word of peers'});
      this.options.reports.forget();
      this.options.known.forgetReports();
      this.options.readAge.forget();
      this.summaries.reset();
    }
  }
}

/** Rounds an age to whole milliseconds; returns NaN while it is unknown. */
function toGaugeValue(ms: number): number {
  return Number.isFinite(ms) ? Math.round(ms) : Number.NaN;
}
