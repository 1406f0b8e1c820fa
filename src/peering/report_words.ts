import {PeerIdentity} from '../peer/index.js';
import {Acknowledgement, HeartbeatReply, HostReport} from './host_report.js';
import {optional} from './optional.js';
import {PeerWordsOptions} from './peer_words_options.js';
import {RowWords} from './row_words.js';
import {SummaryWords} from './summary_words.js';
import {ToldHosts} from './told_hosts.js';
import {UsageWords} from './usage_words.js';

/** Age of word of all hosts beyond which every aggregator is asked, in ms. */
const WANTED_MS = 1000;

/** What reports are made of besides the options of the words. */
export interface ReportParts {
  readonly rows: RowWords;
  readonly usage: UsageWords;
  readonly summaries: SummaryWords;
}

/** Makes the reports that a host sends with its heartbeats, and replies to them. */
export class ReportWords {
  private readonly toldHosts: ToldHosts;

  constructor(
    private readonly options: PeerWordsOptions,
    private readonly parts: ReportParts,
  ) {
    this.toldHosts = new ToldHosts(options.clock);
  }

  /** What a host tells every other one, while there are few. */
  createReport(reply: Acknowledgement | undefined): HostReport {
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
  createMemberReport(peer: PeerIdentity, isFirst: boolean): HostReport {
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
  createCentreReport(
    peer: PeerIdentity,
    reply: Acknowledgement | undefined,
  ): HostReport {
    const {known} = this.options;
    return {
      ...this.createEmptyReport(),
      ...optional('membersVersion', known.getMembersVersion(peer.host)),
      ...(known.isAggregator()
        ? {centre: this.parts.summaries.createCentre(reply?.membersVersion)}
        : {}),
    };
  }

  /** Replies to a report. */
  createReply(report: HostReport, from: PeerIdentity): HeartbeatReply {
    const {hostsVersion} = report;
    if (report.centre !== undefined) {
      return this.createCentreReply(report, from);
    }
    if (report.wantsAll === undefined) {
      return {hostsVersion};
    }
    const {trueTime} = this.options;
    const all = report.wantsAll
      ? this.parts.summaries.createAll(from, report.membersVersion)
      : undefined;
    return {
      hostsVersion,
      news: this.parts.rows.listStatesWithAge(),
      ...optional('all', all),
      ...optional('sharedMs', trueTime.readSharedMs()),
      ...optional('usualOffsetMs', trueTime.getUsualOffset()),
    };
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
      news: this.parts.rows.listStatesWithAge(),
      ...optional('membersVersion', known.getMembersVersion(from.host)),
      ...(isTold || !known.isAggregator()
        ? {}
        : {centre: this.parts.summaries.createCentre(membersVersion)}),
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
      news: this.parts.rows.listStates(),
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
      usage: this.parts.usage
        .listWindows(isFirst)
        .map(({window, counts}) => [window, {...counts}]),
    };
  }
}
