import {PeerIdentity} from '../peer/index.js';
import {CountingMode} from '../quota/index.js';
import {ModelSection, readModelSection} from '../server_model/index.js';
import {HostReport} from './host_report.js';
import {MemberScope} from './known_hosts.js';
import {optional} from './optional.js';
import {PeerMessagesOptions} from './peer_messages_options.js';
import {WorkSummary} from './work_summary.js';

const REFUSED = 'peer_words_refused';
/** Maximum number of peer incarnations whose last summary sequence is kept. */
const MAX_INCARNATIONS = 4096;

/** Processes what peers report of themselves and of other hosts. */
export class ReportReceiver {
  /** Highest sequence of summaries received, by kind and incarnation of the sender. */
  private readonly sequences = new Map<string, number>();

  /** Incarnations of peers that have sent implausible observations of servers. */
  private readonly implausible = new Set<string>();

  constructor(private readonly options: PeerMessagesOptions) {
    options.metrics.addCounter(REFUSED, 'Words of peers that were refused');
  }

  /** Processes a peer's report. */
  addReport(report: HostReport, from: PeerIdentity): void {
    const {known, reports, hostUsage, referenceTime, quota} = this.options;
    const {host, dataCentre} = from;
    const {address, capacity, forwardingAddress} = report;
    known.addSelfReport({
      host,
      dataCentre,
      address,
      ...optional('capacity', capacity),
      ...optional('forwardingAddress', forwardingAddress),
    });
    for (const other of report.hosts) {
      known.addAddress(other);
    }
    const origin = `${host}/${from.incarnation}`;
    if (report.centre === undefined) {
      const counting = reports.hasSummaryOfAll()
        ? CountingMode.NONE
        : CountingMode.ALL;
      reports.addReport(from, report);
      quota.addPeerSpending(origin, toSpending(report.spending), counting);
      this.addParts(report.parts);
    }
    this.checkModel(from, report.model);
    this.addCentre(from, report.centre);
    hostUsage.add(
      origin,
      report.usage.map(([window, counts]) => ({window, counts})),
    );
    if (report.timeOffsetMs !== undefined) {
      referenceTime.addPeer(host, report.timeOffsetMs);
    }
  }

  /** Processes the summary of the work of another data centre's hosts. */
  addCentre(from: PeerIdentity, centre: WorkSummary | undefined): void {
    if (
      centre !== undefined &&
      this.isNewer(from, MemberScope.CENTRE, centre)
    ) {
      const isSameSender = this.options.reports.addCentreSummary(from, centre);
      this.addSummary(from, MemberScope.CENTRE, centre, isSameSender);
    }
  }

  /** Processes the summary of the work of all other hosts. */
  addAll(from: PeerIdentity, all: WorkSummary | undefined): void {
    if (all !== undefined && this.isNewer(from, MemberScope.ALL, all)) {
      const isSameSender = this.options.reports.addSummaryOfAll(from, all);
      this.addSummary(from, MemberScope.ALL, all, isSameSender);
    }
  }

  /** Counts and logs a message that is refused. */
  refuse(from: PeerIdentity, detail: string): void {
    this.options.metrics.increment(REFUSED, {peer: from.host});
    this.options.log.warn(REFUSED, {peer: from.host, detail});
  }

  /** Processes the parts of a summary that are the same for every kind. */
  private addSummary(
    from: PeerIdentity,
    kind: MemberScope,
    summary: WorkSummary,
    isSameSender: boolean,
  ): void {
    const {known, quota} = this.options;
    const {membersVersion, members} = summary;
    known.addMembers(from.host, kind, membersVersion, members);
    this.checkModel(from, summary.model);
    this.addParts(summary.parts);
    quota.addPeerSpending(
      `${kind}:${from.host}/${from.incarnation}`,
      toSpending(summary.spending),
      isSameSender ? CountingMode.EXCEPT_FIRST : CountingMode.NONE,
    );
  }

  /** Returns whether a summary is newer than the previous ones of its sender. */
  private isNewer(
    from: PeerIdentity,
    kind: MemberScope,
    {sequence}: WorkSummary,
  ): boolean {
    const key = `${kind}:${from.host}/${from.incarnation}`;
    if (sequence <= (this.sequences.get(key) ?? 0)) {
      this.refuse(from, `summary ${sequence} is not newer than the last one`);
      return false;
    }
    this.sequences.delete(key);
    this.sequences.set(key, sequence);
    this.trim();
    return true;
  }

  /** Drops the least recently received sequence if too many are kept. */
  private trim(): void {
    const [oldest] = this.sequences.keys();
    if (this.sequences.size > MAX_INCARNATIONS && oldest !== undefined) {
      this.sequences.delete(oldest);
    }
  }

  /** Logs implausible values in a section, once per incarnation of the sender. */
  private checkModel(
    {host, incarnation}: PeerIdentity,
    section: ModelSection | undefined,
  ): void {
    const origin = `${host}/${incarnation}`;
    if (section === undefined || this.implausible.has(origin)) {
      return;
    }
    const {ignored} = readModelSection(section);
    if (ignored > 0 && this.implausible.size < MAX_INCARNATIONS) {
      this.implausible.add(origin);
      this.options.log.warn('server_model_ignored', {
        peer: host,
        entries: ignored,
        detail: 'implausible values',
      });
    }
  }

  private addParts(parts: HostReport['parts']): void {
    this.options.fleet.addPeerParts(
      parts.map(([server, id, tokens]) => ({server, part: {id, tokens}})),
    );
  }
}

function toSpending(
  entries: readonly (readonly [string, number])[],
): {customer: string; units: number}[] {
  return entries.map(([customer, units]) => ({customer, units}));
}
