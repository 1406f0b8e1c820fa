import {PeerIdentity} from '../peer/index.js';
import {Counting} from '../quota/index.js';
import {HostReport} from './host_report.js';
import {MemberScope} from './known_hosts.js';
import {optional} from './optional.js';
import {PeerWordsOptions} from './peer_words_options.js';
import {WorkSummary} from './work_summary.js';

const REFUSED = 'peer_words_refused';
/** Starts of peers that are remembered with their last summary. */
const MAX_STARTS = 4096;

/** Takes in what peers tell of themselves and of others. */
export class HeardWords {
  /** Highest sequence of summaries, by the start that made them and its kind. */
  private readonly sequences = new Map<string, number>();

  constructor(private readonly options: PeerWordsOptions) {
    options.metrics.addCounter(REFUSED, 'Words of peers that were refused');
  }

  /** Takes in a peer's report. */
  addReport(report: HostReport, from: PeerIdentity): void {
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
    this.addCentre(from, report.centre);
    hostUsage.add(
      origin,
      report.usage.map(([window, counts]) => ({window, counts})),
    );
    if (report.timeOffsetMs !== undefined) {
      trueTime.addPeer(host, report.timeOffsetMs);
    }
  }

  /** Takes in what the hosts of another data centre have under way. */
  addCentre(from: PeerIdentity, centre: WorkSummary | undefined): void {
    if (centre !== undefined && this.isNext(from, MemberScope.CENTRE, centre)) {
      const goesOn = this.options.reports.addCentre(from, centre);
      this.addSummary(from, MemberScope.CENTRE, centre, goesOn);
    }
  }

  /** Takes in what all other hosts have under way. */
  addAll(from: PeerIdentity, all: WorkSummary | undefined): void {
    if (all !== undefined && this.isNext(from, MemberScope.ALL, all)) {
      const goesOn = this.options.reports.addAll(from, all);
      this.addSummary(from, MemberScope.ALL, all, goesOn);
    }
  }

  /** Counts and logs what cannot be taken in. */
  refuse(from: PeerIdentity, detail: string): void {
    this.options.metrics.increment(REFUSED, {peer: from.host});
    this.options.log.warn(REFUSED, {peer: from.host, detail});
  }

  /** Takes in of a summary what is the same for every kind. */
  private addSummary(
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
    this.sequences.delete(key);
    this.sequences.set(key, sequence);
    this.trim();
    return true;
  }

  /** Forgets the start that has told nothing for longest. */
  private trim(): void {
    const [oldest] = this.sequences.keys();
    if (this.sequences.size > MAX_STARTS && oldest !== undefined) {
      this.sequences.delete(oldest);
    }
  }

  private addParts(parts: HostReport['parts']): void {
    this.options.fleet.addPeerParts(
      parts.map(([server, id, tokens]) => ({server, part: {id, tokens}})),
    );
  }
}

function toSpending(
  told: readonly (readonly [string, number])[],
): {customer: string; units: number}[] {
  return told.map(([customer, units]) => ({customer, units}));
}
