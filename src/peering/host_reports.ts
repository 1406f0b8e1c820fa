import {HostLoad, ServerLoad} from '../fleet/index.js';
import {PeerIdentity} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {HostReport} from './host_report.js';
import {HostWork, readReportedWork, readSummarisedWork} from './host_work.js';
import {MemberScope} from './known_hosts.js';
import {WorkSum} from './work_sum.js';
import {WorkSummary} from './work_summary.js';

/** Whose work was told. */
const Scope = {
  /** One host, by its own word. */
  HOST: 'host',
  ...MemberScope,
} as const;
type Scope = (typeof Scope)[keyof typeof Scope];

/** What was told last of one host, or of several together. */
interface ToldWork {
  readonly scope: Scope;
  /** Who told it. */
  readonly teller: string;
  /** Data centre of whoever told it. */
  readonly dataCentre: string;
  /** Hosts that it stands for. */
  readonly hosts: number;
  readonly work: HostWork;
  readonly byServer: ReadonlyMap<string, ServerLoad>;
  readonly holdsDuties: boolean;
  /** See `WorkSummary.hops`. */
  readonly hops: number;
  readonly toldMs: number;
}

/** What a host told last itself. */
export interface HostWord {
  readonly work: HostWork;
  /** Time since it told, in milliseconds. */
  readonly ageMs: number;
}

/** What the reports work with. */
export interface HostReportsOptions {
  readonly clock: Clock;
  /** Data centre of this host: its hosts tell this one themselves. */
  readonly dataCentre: string;
  /** Age at which a report's loads count no longer, in milliseconds. */
  readonly staleMs: number;
  /** Age at which it is forgotten, in milliseconds. */
  readonly goneMs: number;
}

/** Words that count together, as found at one moment. */
interface CountedWork {
  readonly foundMs: number;
  readonly told: readonly ToldWork[];
}

/**
 * Time for which what counts is not looked for anew, in milliseconds: a request asks
 * for it once for each server that it may go to.
 */
const COUNTED_MS = 10;
/** Age up to which the summary of a data centre is not taken over, in ms. */
const KEPT_SUMMARY_MS = 1000;

/**
 * What the other entry hosts have under way, as they or their aggregators told.
 *
 * No host counts twice: word of all goes before word of data centres, and word
 * of a data centre before that of its hosts.
 */
export class HostReports {
  private readonly told = new Map<string, ToldWork>();
  /** What counts, by the age up to which it does. */
  private readonly counted = new Map<number, CountedWork>();

  constructor(private readonly options: HostReportsOptions) {}

  /** Takes in a report from the host itself. */
  addReport(from: PeerIdentity, report: HostReport): void {
    this.set(`host ${from.host}`, Scope.HOST, from, {
      hosts: 1,
      work: readReportedWork(report),
      hops: 0,
      holdsDuties: report.holdsDuties,
    });
  }

  /**
   * Takes in what the hosts of another data centre have under way. Where two of
   * its hosts sum it up, that of more hosts counts while it is told.
   * @returns Whether it goes on from what counted before.
   */
  addCentre(from: PeerIdentity, summary: WorkSummary): boolean {
    const key = `centre ${from.dataCentre}`;
    const known = this.told.get(key);
    const keepsKnown =
      known !== undefined &&
      known.teller !== from.host &&
      known.hosts > summary.hosts &&
      this.getAgeMs(known) < KEPT_SUMMARY_MS;
    if (keepsKnown) {
      return false;
    }
    this.set(key, Scope.CENTRE, from, {
      hosts: summary.hosts,
      work: readSummarisedWork(summary),
      hops: summary.hops,
      holdsDuties: summary.holdsDuties,
    });
    return known?.teller === from.host;
  }

  /**
   * Takes in what all other hosts have under way.
   * @returns Whether it goes on from what counted before.
   */
  addAll(from: PeerIdentity, summary: WorkSummary): boolean {
    const known = this.told.get('all');
    this.set('all', Scope.ALL, from, {
      hosts: summary.hosts,
      work: readSummarisedWork(summary),
      hops: summary.hops,
      holdsDuties: summary.holdsDuties,
    });
    return known?.teller === from.host;
  }

  /** Tells whether word of all hosts counts, and no other. */
  hearsOfAll(): boolean {
    return this.getAgeOfAllMs() <= this.options.staleMs;
  }

  /** Lets go of everything, after a pause that no clock has counted. */
  forget(): void {
    this.told.clear();
    this.counted.clear();
  }

  /** Returns the age of the last word of all hosts, in milliseconds. */
  getAgeOfAllMs(): number {
    const all = this.told.get('all');
    return all === undefined ? Number.POSITIVE_INFINITY : this.getAgeMs(all);
  }

  /** Returns what other hosts have in flight at a server. */
  listLoadsAt(server: string): HostLoad[] {
    const loads: HostLoad[] = [];
    for (const told of this.listCounted(this.options.staleMs)) {
      const load = told.byServer.get(server);
      if (load !== undefined) {
        loads.push({...load, ageMs: this.getAgeMs(told)});
      }
    }
    return loads;
  }

  /** Sums the requests in flight at servers that a function picks. */
  sumRunning(picks: (server: string) => boolean): number {
    let sum = 0;
    for (const {work} of this.listCounted(this.options.staleMs)) {
      for (const {server, running} of work.loads) {
        sum += picks(server) ? running : 0;
      }
    }
    return sum;
  }

  /** Sums a customer's demand at other hosts, heard of late or not. */
  sumDemand(customer: string): number {
    let sum = 0;
    for (const {work} of this.listCounted(this.options.goneMs)) {
      for (const [name, perSecond] of work.demands) {
        sum += name === customer ? perSecond : 0;
      }
    }
    return sum;
  }

  /** Counts the hosts whose demand was told, heard of late or not. */
  countTold(): number {
    let count = 0;
    for (const {hosts} of this.listCounted(this.options.goneMs)) {
      count += hosts;
    }
    return count;
  }

  /** Returns the prompt tokens per second that hosts which are heard compute. */
  sumPrefill(service: string): number {
    let sum = 0;
    for (const {work} of this.listCounted(this.options.staleMs)) {
      for (const [name, perSecond] of work.prefill) {
        sum += name === service ? perSecond : 0;
      }
    }
    return sum;
  }

  /** Tells whether a host that is heard holds the duties. */
  hearsHolder(): boolean {
    for (const {holdsDuties} of this.listCounted(this.options.staleMs)) {
      if (holdsDuties) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether another host of this data centre holds the duties. */
  hearsHolderHere(): boolean {
    return this.listHere().some(({holdsDuties}) => holdsDuties);
  }

  /** Sums what the other hosts of this data centre have under way. */
  sumHere(): WorkSum {
    return this.sum(this.listHere());
  }

  /**
   * Sums what all other hosts have under way, by their own word and that of other
   * data centres.
   */
  sumVouched(): WorkSum {
    const recent = this.listRecent(this.options.staleMs);
    return this.sum(listOnce(recent));
  }

  /**
   * Sums what an aggregator told of all other hosts, to tell it on once; nothing
   * where none did. It is told on no further, or it would never grow old.
   */
  sumTold(): WorkSum | undefined {
    const all = this.told.get('all');
    const isFirst = all !== undefined && all.hops === 0 && this.hearsOfAll();
    return isFirst ? this.sum([all]) : undefined;
  }

  /** Lists what hosts told last themselves, by host. */
  listOwnWords(): Map<string, HostWord> {
    const words = new Map<string, HostWord>();
    for (const told of this.listRecent(this.options.staleMs)) {
      if (told.scope === Scope.HOST) {
        words.set(told.teller, {work: told.work, ageMs: this.getAgeMs(told)});
      }
    }
    return words;
  }

  private sum(listed: readonly ToldWork[]): WorkSum {
    const sum = new WorkSum();
    for (const told of listed) {
      sum.add(told.work, this.getAgeMs(told));
    }
    return sum;
  }

  private listHere(): ToldWork[] {
    const {dataCentre, staleMs} = this.options;
    return [...this.told.values()].filter(
      told =>
        told.scope === Scope.HOST &&
        told.dataCentre === dataCentre &&
        this.getAgeMs(told) <= staleMs,
    );
  }

  private set(
    key: string,
    scope: Scope,
    from: PeerIdentity,
    told: Pick<ToldWork, 'hosts' | 'work' | 'hops' | 'holdsDuties'>,
  ): void {
    this.counted.clear();
    this.told.set(key, {
      ...told,
      scope,
      teller: from.host,
      dataCentre: from.dataCentre,
      byServer: new Map(told.work.loads.map(load => [load.server, load])),
      toldMs: this.options.clock.monotonicMs(),
    });
  }

  /** Lists what is not too old, so that no host is in it twice. */
  private listCounted(maxAgeMs: number): readonly ToldWork[] {
    const nowMs = this.options.clock.monotonicMs();
    const known = this.counted.get(maxAgeMs);
    if (known !== undefined && nowMs - known.foundMs < COUNTED_MS) {
      return known.told;
    }
    this.trim();
    const recent = this.listRecent(maxAgeMs);
    const all = recent.find(({scope}) => scope === Scope.ALL);
    const told = all === undefined ? listOnce(recent) : [all];
    this.counted.set(maxAgeMs, {foundMs: nowMs, told});
    return told;
  }

  private listRecent(maxAgeMs: number): ToldWork[] {
    return [...this.told.values()].filter(
      told => this.getAgeMs(told) <= maxAgeMs,
    );
  }

  private getAgeMs(told: ToldWork): number {
    return this.options.clock.monotonicMs() - told.toldMs;
  }

  private trim(): void {
    for (const [key, told] of this.told) {
      if (this.getAgeMs(told) > this.options.goneMs) {
        this.told.delete(key);
      }
    }
  }
}

/** Leaves out the hosts of which a summary of their data centre tells. */
function listOnce(recent: readonly ToldWork[]): ToldWork[] {
  const summed = new Set(
    recent
      .filter(({scope}) => scope === Scope.CENTRE)
      .map(({dataCentre}) => dataCentre),
  );
  return recent.filter(
    ({scope, dataCentre}) =>
      scope === Scope.CENTRE ||
      (scope === Scope.HOST && !summed.has(dataCentre)),
  );
}
