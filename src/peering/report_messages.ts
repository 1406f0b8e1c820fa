import {PeerIdentity} from '../peer/index.js';
import {Acknowledgement, HeartbeatReply, HostReport} from './host_report.js';
import {optional} from './optional.js';
import {PeerMessagesOptions} from './peer_messages_options.js';
import {copyPlaces} from './sum_places.js';
import {RowMessages} from './row_messages.js';
import {SummaryMessages} from './summary_messages.js';
import {createModelSection} from '../server_model/index.js';
import {HostListVersion} from './host_list_version.js';
import {UsageMessages} from './usage_messages.js';

/** Age of the summary of all hosts beyond which every aggregator is asked for one, in ms. */
const MAX_SUMMARY_AGE_MS = 1000;

/** Sources of the sections of a report. */
export interface ReportSections {
  readonly rows: RowMessages;
  readonly usage: UsageMessages;
  readonly summaries: SummaryMessages;
}

/** Creates the reports that a host sends with its heartbeats, and the replies to them. */
export class ReportMessages {
  private readonly hostListVersion: HostListVersion;

  constructor(
    private readonly options: PeerMessagesOptions,
    private readonly sections: ReportSections,
  ) {
    this.hostListVersion = new HostListVersion(options.clock);
  }

  /** Creates the report to any other host in a small fleet. */
  createReport(reply: Acknowledgement | undefined): HostReport {
    const hosts = this.options.known.listAddresses();
    const hostsVersion = this.hostListVersion.getVersion(hosts);
    const isKnown = reply?.hostsVersion === hostsVersion;
    return {
      ...this.createOwnReport(reply === undefined),
      hosts: isKnown ? [] : hosts,
      hostsVersion,
    };
  }

  /** Creates the report to an aggregator of the same data centre. */
  createMemberReport(peer: PeerIdentity, isFirst: boolean): HostReport {
    const {known, reports, self} = this.options;
    const [first] = known.rankAggregators(self.dataCentre);
    const isOutdated = reports.getAgeOfAllMs() > MAX_SUMMARY_AGE_MS;
    const {model, ...report} = this.createOwnReport(isFirst);
    const wantsAll =
      first?.host !== self.host && (first?.host === peer.host || isOutdated);
    return {
      ...report,
      // An aggregator without a task needs no observations until it takes over.
      ...optional('model', wantsAll ? model : undefined),
      wantsAll,
      ...optional('membersVersion', known.getMembersVersion(peer.host)),
    };
  }

  /** Creates the report to an aggregator of another data centre. */
  createCentreReport(
    peer: PeerIdentity,
    reply: Acknowledgement | undefined,
  ): HostReport {
    const {known} = this.options;
    return {
      ...this.createEmptyReport(),
      ...optional('membersVersion', known.getMembersVersion(peer.host)),
      ...(known.isAggregator()
        ? {centre: this.sections.summaries.createCentre(reply?.membersVersion)}
        : {}),
    };
  }

  /** Creates the reply to a report. */
  createReply(report: HostReport, from: PeerIdentity): HeartbeatReply {
    const {hostsVersion} = report;
    if (report.centre !== undefined) {
      return this.createCentreReply(report, from);
    }
    if (report.wantsAll === undefined) {
      return {hostsVersion};
    }
    const {referenceTime} = this.options;
    const all = report.wantsAll
      ? this.sections.summaries.createAll(from, report.membersVersion)
      : undefined;
    return {
      hostsVersion,
      news: this.sections.rows.listStatesWithAge(),
      ...optional('all', all),
      ...optional('sharedMs', referenceTime.readSharedMs()),
      ...optional('usualOffsetMs', referenceTime.getMedianOffset()),
    };
  }

  /**
   * Creates the reply to an aggregator of another data centre. It contains the summary
   * of this data centre if this host sends its own heartbeats to another aggregator
   * there, so that the sender would not get the summary otherwise.
   */
  private createCentreReply(
    {hostsVersion, membersVersion}: HostReport,
    from: PeerIdentity,
  ): HeartbeatReply {
    const {known} = this.options;
    const [first] = known.rankAggregators(from.dataCentre);
    const isLinked = first?.host === from.host;
    return {
      hostsVersion,
      news: this.sections.rows.listStatesWithAge(),
      ...optional('membersVersion', known.getMembersVersion(from.host)),
      ...(isLinked || !known.isAggregator()
        ? {}
        : {centre: this.sections.summaries.createCentre(membersVersion)}),
    };
  }

  private createEmptyReport(): HostReport {
    const {self, referenceTime, isStopping, holdsDuties} = this.options;
    const offset = referenceTime.readOwnOffset();
    return {
      address: self.address,
      ...optional('forwardingAddress', self.forwardingAddress),
      ...optional('capacity', self.capacity),
      hosts: [],
      hostsVersion: 0,
      news: this.sections.rows.listStates(),
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
    const {fleet, quota, listPlaces} = this.options;
    const loads = fleet.listOwnLoads();
    const model = fleet.listModelSums();
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
        .listPrefillRates()
        .map(({customer, perSecond}) => [customer, perSecond]),
      demands: quota
        .listDemand()
        .map(({customer, perSecond}) => [customer, perSecond]),
      ...optional('places', copyPlaces(listPlaces?.() ?? [])),
      spending: quota
        .listSpending()
        .map(({customer, units}) => [customer, units]),
      usage: this.sections.usage
        .listWindows(isFirst)
        .map(({window, counts}) => [window, {...counts}]),
      ...optional('model', model && createModelSection(model)),
    };
  }
}
