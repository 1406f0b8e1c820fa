import {z} from 'zod';
import {ChangeMessages} from '../changes/index.js';
import {createLeavingMessages, LeavingPage} from '../fleet/index.js';
import {createLimitMessages, LimitPage} from '../limits/index.js';
import {PeerIdentity} from '../peer/index.js';
import {createSuspectMessages, SuspectPage} from '../quarantine/index.js';
import {rolloutReportSchema} from '../rollout/index.js';
import {originQuestionSchema, originsSchema} from '../stream_versions/index.js';
import {bulkAbilitySchema, segmentRequestSchema} from '../transfer/index.js';
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
import {PeerMessagesOptions} from './peer_messages_options.js';
import {ReportMessages} from './report_messages.js';
import {RowMessages, rowsSchema} from './row_messages.js';
import {SummaryMessages} from './summary_messages.js';
import {UsageMessages} from './usage_messages.js';

/** Requests that a host sends to a peer. */
const messageSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('heartbeat'), report: hostReportSchema}),
  z.object({
    /** Requests the rows of a replica that changed after a version. */
    kind: z.literal('news'),
    /** Name of the replica. */
    replica: z.string(),
    /** Version up to which the sender has all changes. */
    after: z.number().int().min(0),
    /** What the sender understands in the reply; absent for the previous release. */
    ability: bulkAbilitySchema.optional(),
  }),
  segmentRequestSchema,
  // Requests the counts of requests that began in a window, of all known hosts.
  z.object({kind: z.literal('usage'), window: z.number().int().min(0)}),
  rowsSchema,
  rolloutReportSchema,
  originsSchema,
  originQuestionSchema,
]);

/**
 * Creates and processes the messages between entry hosts.
 *
 * In a small fleet every host reports to every other. In a large one (see
 * `KnownHosts.isLargeFleet`), a host reports to the aggregators of its data centre. These
 * summarise the reports, exchange the summaries across data centres, and reply to each
 * host that requests it with a summary of all the others.
 */
export class PeerMessages {
  private readonly summaries: SummaryMessages;
  private readonly rows: RowMessages;
  private readonly usage: UsageMessages;
  private readonly reports: ReportMessages;
  private readonly reportReceiver: ReportReceiver;
  private readonly suspects: ChangeMessages<SuspectPage>;
  private readonly limits: ChangeMessages<LimitPage>;
  private readonly leaving: ChangeMessages<LeavingPage>;
  private readonly pauses: PauseWatch;
  /**
   * Peers whose last heartbeat requested the summary of all hosts. This host forwards new
   * rows to them without waiting for the next heartbeat.
   */
  private readonly summaryReceivers = new Set<string>();

  constructor(private readonly options: PeerMessagesOptions) {
    const {clock, self, incarnation} = options;
    options.metrics.addGauge(
      'tables_known_age_ms',
      'Time since this host or its peers read the tables that it serves by',
      () => toGaugeValue(options.readAge.getOldestMs()),
    );
    this.pauses = new PauseWatch(clock);
    this.reportReceiver = new ReportReceiver(options);
    this.suspects = createSuspectMessages(options.quarantine);
    this.limits = createLimitMessages(options.limits);
    this.leaving = createLeavingMessages(options.fleet.leaving);
    this.summaries = new SummaryMessages(options);
    this.rows = new RowMessages({
      ...options,
      listReceivers: wasRead => this.listRowReceivers(wasRead),
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
        ...optional('leaving', this.leaving.create(peer, reply?.leaving)),
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
      this.reportReceiver.refuse(peer, parsed.error.issues[0]?.message ?? '');
      return;
    }
    const {all, news, sharedMs, usualOffsetMs} = parsed.data;
    const {referenceTime} = this.options;
    if (sharedMs !== undefined) {
      referenceTime.addReading(sharedMs, sentMs);
    }
    if (usualOffsetMs !== undefined) {
      referenceTime.addPeer(peer.host, usualOffsetMs);
    }
    this.reportReceiver.addAll(peer, all);
    this.reportReceiver.addCentre(peer, parsed.data.centre);
    this.rows.compare(peer.host, news ?? {}, sentMs);
    this.suspects.receive(peer, parsed.data.suspects);
    this.limits.receive(peer, parsed.data.limits);
    this.leaving.receive(peer, parsed.data.leaving);
  }

  /**
   * Answers a request of a peer.
   * @param request - The request; not yet validated.
   * @param from - The peer.
   */
  async handle(request: unknown, from: PeerIdentity): Promise<unknown> {
    const parsed = messageSchema.safeParse(request);
    if (!parsed.success) {
      this.reportReceiver.refuse(from, parsed.error.issues[0]?.message ?? '');
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
        return this.rows.listUpdates(
          message.replica,
          message.after,
          message.ability,
        );
      case 'segment':
        return this.options.bulk?.outgoing.readSegment(message) ?? {};
      case 'rows':
        this.rows.receive(from.host, message);
        return {};
      case 'origins':
        this.options.streamVersions.receive(message);
        return {};
      case 'origin':
        return this.options.streamVersions.answer(message);
      case 'rollout':
        return this.options.answerRollout(
          message,
          `${from.host}/${from.incarnation}`,
        );
    }
  }

  /**
   * Requests the counts of requests in a window from the hosts that together know the
   * counts of every host: all others, or in a large fleet the aggregator of each data
   * centre.
   */
  async gatherUsage(window: number): Promise<void> {
    await this.usage.gather(window);
  }

  /**
   * In a large fleet, forwards new rows of a replica without waiting for the next
   * heartbeat: to the peers that request the summary of all hosts from this one and, if
   * this host is an aggregator and has read the rows, to other data centres. In a small
   * fleet, peers request new rows themselves.
   * @param replica - Name of the replica.
   * @param wasRead - Whether the rows were read from the table by this host, rather than
   *   received from a peer.
   */
  forwardRows(replica: string, wasRead: boolean): void {
    if (this.options.known.isLargeFleet()) {
      void this.rows.forward(replica, wasRead);
    }
  }

  private createReport(
    peer: PeerIdentity,
    reply: Acknowledgement | undefined,
  ): HostReport {
    const {known, self} = this.options;
    if (!known.isLargeFleet()) {
      return this.reports.createReport(reply);
    }
    return peer.dataCentre === self.dataCentre
      ? // Without a reply, this is the first heartbeat on the connection.
        this.reports.createMemberReport(peer, reply === undefined)
      : this.reports.createCentreReport(peer, reply);
  }

  private createReply(report: HostReport, from: PeerIdentity): HeartbeatReply {
    return {
      ...this.reports.createReply(report, from),
      ...optional('suspects', this.suspects.create(from, report.suspects)),
      ...optional('limits', this.limits.create(from, report.limits)),
      ...optional('leaving', this.leaving.create(from, report.leaving)),
    };
  }

  private receive(report: HostReport, from: PeerIdentity): void {
    this.reportReceiver.addReport(report, from);
    this.suspects.receive(from, report.suspects);
    this.limits.receive(from, report.limits);
    this.leaving.receive(from, report.leaving);
    if (report.wantsAll === true) {
      this.summaryReceivers.add(from.host);
    } else {
      this.summaryReceivers.delete(from.host);
    }
    this.rows.compare(from.host, report.news);
  }

  /**
   * Lists the connected peers to which this host forwards new rows.
   * @param wasRead - Whether this host has read the rows from the table, so that no other
   *   host has sent them to other data centres.
   */
  private listRowReceivers(wasRead: boolean): string[] {
    const remote = new Set(wasRead ? this.listRemoteHosts() : []);
    return this.options
      .listConnected()
      .filter(host => this.summaryReceivers.has(host) || remote.has(host));
  }

  /** Lists the hosts of other data centres if this host is an aggregator, else none. */
  private listRemoteHosts(): string[] {
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
    if (!known.isLargeFleet()) {
      return known.listAddresses().map(({host}) => host);
    }
    const aggregators = known
      .listDataCentres()
      .map(dataCentre => known.rankAggregators(dataCentre)[0]?.host ?? '');
    return aggregators.filter(host => host !== '' && host !== self.host);
  }

  /**
   * Discards what peers have reported if, by its clocks, the machine was suspended since
   * the last check: its monotonic clock does not count that time, so the reports look more
   * recent than they are.
   */
  private checkForPause(): void {
    if (this.pauses.hasPaused()) {
      this.options.log.warn('pause_noticed', {forgets: 'reports of peers'});
      this.options.reports.reset();
      this.options.known.resetReports();
      this.options.readAge.reset();
      this.summaries.reset();
    }
  }
}

/** Rounds an age to whole milliseconds; returns NaN while it is unknown. */
function toGaugeValue(ms: number): number {
  return Number.isFinite(ms) ? Math.round(ms) : Number.NaN;
}
