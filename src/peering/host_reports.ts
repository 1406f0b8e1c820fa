import {PlacesInUse} from '../admission/index.js';
import {HostLoad, ServerLoad} from '../fleet/index.js';
import {PeerIdentity} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {ModelSum, ModelSums} from '../server_model/index.js';
import {HostReport} from './host_report.js';
import {HostWork, readReportedWork, readSummarisedWork} from './host_work.js';
import {MemberScope} from './known_hosts.js';
import {WorkSum} from './work_sum.js';
import {WorkSummary} from './work_summary.js';

/** Which hosts a report covers. */
const Scope = {
  /** The sender alone. */
  HOST: 'host',
  ...MemberScope,
} as const;
type Scope = (typeof Scope)[keyof typeof Scope];

/**
 * The last report of the work of one host, or of several together: their requests in
 * flight at each server, the prompt tokens that are not yet computed, and the demand of
 * each customer.
 */
interface ReportedWork {
  readonly scope: Scope;
  /** Host that sent the report. */
  readonly reporter: string;
  /** Data centre of the reporter. */
  readonly dataCentre: string;
  /** Number of hosts that the report covers. */
  readonly hosts: number;
  readonly work: HostWork;
  readonly byServer: ReadonlyMap<string, ServerLoad>;
  /** Whether one of the covered hosts holds the duties. */
  readonly holdsDuties: boolean;
  /**
   * 1 if the reporter forwarded the summary of all hosts of an aggregator, else 0; see
   * `WorkSummary.hops`.
   */
  readonly hops: number;
  readonly receivedMs: number;
}

/** The last report of another host about its own work alone. */
export interface SelfReport {
  readonly work: HostWork;
  /** Time since the report arrived, in milliseconds. */
  readonly ageMs: number;
}

/** Options of the reports. */
export interface HostReportsOptions {
  readonly clock: Clock;
  /** Data centre of this host. */
  readonly dataCentre: string;
  /**
   * Age beyond which a report is stale, in milliseconds: only the demand in it is still
   * counted.
   */
  readonly staleMs: number;
  /** Age beyond which a report expires, in milliseconds: nothing in it is counted. */
  readonly expiryMs: number;
}

/** Reports that together cover each host at most once, as selected at one time. */
interface ReportSelection {
  readonly selectedMs: number;
  readonly reports: readonly ReportedWork[];
}

/**
 * Time for which a selection of reports is reused, in milliseconds: for each request, the
 * load from other hosts is needed for each candidate server.
 */
const SELECTION_MS = 10;
/**
 * Age below which the summary of a data centre is kept when another host of that data
 * centre sends one that covers fewer hosts, in milliseconds.
 */
const MAX_KEPT_SUMMARY_AGE_MS = 1000;

/**
 * The work of the other entry hosts, as reported by them or by their aggregators.
 *
 * No host counts twice: a summary of all hosts replaces the summaries of data centres,
 * and the summary of a data centre replaces the reports of its hosts.
 */
export class HostReports {
  /**
   * The last report of each host under `host NAME`, the last summary of each other data
   * centre under `centre NAME`, and the last summary of all hosts under `all`.
   */
  private readonly reports = new Map<string, ReportedWork>();
  /** Selections by the maximum age of their reports, in milliseconds. */
  private readonly selections = new Map<number, ReportSelection>();

  constructor(private readonly options: HostReportsOptions) {}

  /** Adds a host's report of its own work. */
  addReport(from: PeerIdentity, report: HostReport): void {
    this.set(`host ${from.host}`, Scope.HOST, from, {
      hosts: 1,
      work: readReportedWork(report),
      hops: 0,
      holdsDuties: report.holdsDuties,
    });
  }

  /**
   * Adds the summary of another data centre. If two of its hosts send summaries, one that
   * covers fewer hosts than the known one is ignored until the known one is
   * `MAX_KEPT_SUMMARY_AGE_MS` old.
   * @returns Whether the summary replaces one of the same sender. Only then does the
   *   caller count the admitted units that it reports.
   */
  addCentreSummary(from: PeerIdentity, summary: WorkSummary): boolean {
    const key = `centre ${from.dataCentre}`;
    const known = this.reports.get(key);
    const keepsKnown =
      known !== undefined &&
      known.reporter !== from.host &&
      known.hosts > summary.hosts &&
      this.getAgeMs(known) < MAX_KEPT_SUMMARY_AGE_MS;
    if (keepsKnown) {
      return false;
    }
    this.set(key, Scope.CENTRE, from, {
      hosts: summary.hosts,
      work: readSummarisedWork(summary),
      hops: summary.hops,
      holdsDuties: summary.holdsDuties,
    });
    return known?.reporter === from.host;
  }

  /**
   * Adds the summary of all other hosts.
   * @returns Whether the summary replaces one of the same sender; see `addCentreSummary`.
   */
  addSummaryOfAll(from: PeerIdentity, summary: WorkSummary): boolean {
    const known = this.reports.get('all');
    this.set('all', Scope.ALL, from, {
      hosts: summary.hosts,
      work: readSummarisedWork(summary),
      hops: summary.hops,
      holdsDuties: summary.holdsDuties,
    });
    return known?.reporter === from.host;
  }

  /** Returns whether there is a summary of all hosts that is not stale. */
  hasSummaryOfAll(): boolean {
    return this.getAgeOfAllMs() <= this.options.staleMs;
  }

  /**
   * Discards all reports, after the machine was suspended: its monotonic clock does not
   * count that time, so the reports look more recent than they are.
   */
  reset(): void {
    this.reports.clear();
    this.selections.clear();
  }

  /** Returns the age of the summary of all hosts, in milliseconds; infinite if none. */
  getAgeOfAllMs(): number {
    const all = this.reports.get('all');
    return all === undefined ? Number.POSITIVE_INFINITY : this.getAgeMs(all);
  }

  /**
   * Lists the load that other hosts put on a server: one entry for each selected report
   * or summary that includes the server and is not stale.
   */
  listLoadsAt(server: string): HostLoad[] {
    const loads: HostLoad[] = [];
    for (const report of this.selectReports(this.options.staleMs)) {
      const load = report.byServer.get(server);
      if (load !== undefined) {
        loads.push({...load, ageMs: this.getAgeMs(report)});
      }
    }
    return loads;
  }

  /**
   * Sums the in-flight requests of other hosts at the servers that a function selects, by
   * reports that are not stale.
   */
  sumInFlight(isIncluded: (server: string) => boolean): number {
    let sum = 0;
    for (const {work} of this.selectReports(this.options.staleMs)) {
      for (const {server, running} of work.loads) {
        sum += isIncluded(server) ? running : 0;
      }
    }
    return sum;
  }

  /**
   * Sums a customer's demand at other hosts, in units per second, as its rate limit counts
   * them. Includes stale reports, until they expire.
   */
  sumDemand(customer: string): number {
    let sum = 0;
    for (const {work} of this.selectReports(this.options.expiryMs)) {
      for (const [name, perSecond] of work.demands) {
        sum += name === customer ? perSecond : 0;
      }
    }
    return sum;
  }

  /**
   * Counts the other hosts whose demand is known: those that the reports cover from which
   * `sumDemand` takes it.
   */
  countReported(): number {
    let count = 0;
    for (const {hosts} of this.selectReports(this.options.expiryMs)) {
      count += hosts;
    }
    return count;
  }

  /**
   * Sums the prompt tokens per second that the servers of a service compute for other
   * hosts, by reports that are not stale.
   */
  sumPrefillRate(service: string): number {
    let sum = 0;
    for (const {work} of this.selectReports(this.options.staleMs)) {
      for (const [name, perSecond] of work.prefill) {
        sum += name === service ? perSecond : 0;
      }
    }
    return sum;
  }

  /**
   * Lists the requests in flight of other hosts by service and customer, by reports that
   * are not stale.
   */
  listPlaces(): PlacesInUse[] {
    return this.selectReports(this.options.staleMs).flatMap(
      ({work}) => work.places,
    );
  }

  /** Counts the other hosts that `listPlaces` covers. */
  countRecent(): number {
    let count = 0;
    for (const {hosts} of this.selectReports(this.options.staleMs)) {
      count += hosts;
    }
    return count;
  }

  /**
   * Sums the other hosts' observations of servers. Includes stale reports, until they
   * expire: the sums decay with the age of the report.
   */
  sumModels(): ModelSums {
    const sum = new ModelSum();
    for (const report of this.selectReports(this.options.expiryMs)) {
      if (report.work.model !== undefined) {
        sum.add(report.work.model, this.getAgeMs(report));
      }
    }
    return sum.get();
  }

  /**
   * Returns whether another host holds the duties, as it reports itself or as a summary
   * reports; stale reports do not count.
   */
  knowsHolder(): boolean {
    for (const {holdsDuties} of this.selectReports(this.options.staleMs)) {
      if (holdsDuties) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether another host of this data centre holds the duties, as it reports
   * itself to this host; summaries and stale reports do not count.
   */
  knowsHolderInOwnCentre(): boolean {
    return this.listSelfReportsInOwnCentre().some(
      ({holdsDuties}) => holdsDuties,
    );
  }

  /** Sums the work of the other hosts of this data centre that report to this host. */
  sumOwnCentre(): WorkSum {
    return this.sum(this.listSelfReportsInOwnCentre());
  }

  /**
   * Sums the work of all other hosts from their own reports and the summaries of other
   * data centres, without the summary of all hosts; see `KnownHosts.listConfirmed`.
   */
  sumConfirmed(): WorkSum {
    const recent = this.listRecent(this.options.staleMs);
    return this.sum(omitCovered(recent));
  }

  /**
   * Returns the summary of all other hosts that an aggregator sent, to forward it to
   * another host; `undefined` if there is none, if it is stale, or if the sender had
   * itself forwarded it. It is forwarded over one hop only: hosts that forwarded it to
   * each other would keep it from expiring.
   */
  sumForForwarding(): WorkSum | undefined {
    const all = this.reports.get('all');
    const isForwardable =
      all !== undefined && all.hops === 0 && this.hasSummaryOfAll();
    return isForwardable ? this.sum([all]) : undefined;
  }

  /**
   * Returns the reports of other hosts about their own work alone that are not stale, by
   * host.
   */
  listSelfReports(): Map<string, SelfReport> {
    const ownReports = new Map<string, SelfReport>();
    for (const report of this.listRecent(this.options.staleMs)) {
      if (report.scope === Scope.HOST) {
        ownReports.set(report.reporter, {
          work: report.work,
          ageMs: this.getAgeMs(report),
        });
      }
    }
    return ownReports;
  }

  private sum(listed: readonly ReportedWork[]): WorkSum {
    const sum = new WorkSum();
    for (const report of listed) {
      sum.add(report.work, this.getAgeMs(report));
    }
    return sum;
  }

  private listSelfReportsInOwnCentre(): ReportedWork[] {
    const {dataCentre, staleMs} = this.options;
    return [...this.reports.values()].filter(
      report =>
        report.scope === Scope.HOST &&
        report.dataCentre === dataCentre &&
        this.getAgeMs(report) <= staleMs,
    );
  }

  private set(
    key: string,
    scope: Scope,
    from: PeerIdentity,
    report: Pick<ReportedWork, 'hosts' | 'work' | 'hops' | 'holdsDuties'>,
  ): void {
    this.selections.clear();
    this.reports.set(key, {
      ...report,
      scope,
      reporter: from.host,
      dataCentre: from.dataCentre,
      byServer: new Map(report.work.loads.map(load => [load.server, load])),
      receivedMs: this.options.clock.monotonicMs(),
    });
  }

  /**
   * Selects reports up to a maximum age, so that no host is covered twice. Removes
   * expired reports.
   */
  private selectReports(maxAgeMs: number): readonly ReportedWork[] {
    const nowMs = this.options.clock.monotonicMs();
    const known = this.selections.get(maxAgeMs);
    if (known !== undefined && nowMs - known.selectedMs < SELECTION_MS) {
      return known.reports;
    }
    this.trim();
    const recent = this.listRecent(maxAgeMs);
    const all = recent.find(({scope}) => scope === Scope.ALL);
    const reports = all === undefined ? omitCovered(recent) : [all];
    this.selections.set(maxAgeMs, {selectedMs: nowMs, reports});
    return reports;
  }

  private listRecent(maxAgeMs: number): ReportedWork[] {
    return [...this.reports.values()].filter(
      report => this.getAgeMs(report) <= maxAgeMs,
    );
  }

  private getAgeMs(report: ReportedWork): number {
    return this.options.clock.monotonicMs() - report.receivedMs;
  }

  private trim(): void {
    for (const [key, report] of this.reports) {
      if (this.getAgeMs(report) > this.options.expiryMs) {
        this.reports.delete(key);
      }
    }
  }
}

/**
 * Omits the reports of hosts whose data centre has a summary among the reports, and the
 * summary of all hosts.
 */
function omitCovered(recent: readonly ReportedWork[]): ReportedWork[] {
  const summarisedCentres = new Set(
    recent
      .filter(({scope}) => scope === Scope.CENTRE)
      .map(({dataCentre}) => dataCentre),
  );
  return recent.filter(
    ({scope, dataCentre}) =>
      scope === Scope.CENTRE ||
      (scope === Scope.HOST && !summarisedCentres.has(dataCentre)),
  );
}
