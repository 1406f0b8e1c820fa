import {Account, Rate} from '../catalog/index.js';
import {Clock} from '../time/index.js';
import {Bucket} from './bucket.js';
import {Demand} from './demand.js';
import {DemandMeter} from './demand_meter.js';
import {CountingMode, PeerSpending} from './peer_spending.js';
import {ReportedDemand} from './reported_demand.js';
import {estimateUnknown} from './estimate_unknown.js';
import {Spending} from './spending.js';
import {PastSpending, SpendingHistory} from './spending_history.js';
import {UrgentReserve} from './urgent_reserve.js';

/**
 * How far all hosts together may exceed a customer's rate in a window. The
 * allowed excess is `overage` times the units of the window, plus `slack`.
 */
export interface QuotaBound {
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  /** Fraction of the units of a window, including the burst. */
  readonly overage: number;
  /** Units that are allowed in addition. */
  readonly slack: number;
}

/** Dependencies of the quota. */
export interface QuotaOptions {
  readonly clock: Clock;
  /**
   * Returns a customer's demand at the other hosts as last reported, also by
   * hosts that cannot currently be reached.
   */
  readonly sumPeerDemand: (customer: string) => number;
  /** Returns how many other hosts have reported their demand. */
  readonly countReportingHosts: () => number;
  /**
   * Returns the number of hosts that may be admitting requests, including this
   * one.
   */
  readonly countHosts: () => number;
  /** Returns how many of these hosts are reachable, including this one. */
  readonly countReachableHosts: () => number;
  readonly getBound: () => QuotaBound;
  /**
   * Returns whether a customer's less urgent requests leave room for its more urgent ones,
   * and whether the allowed excess is used by all hosts together; absent: neither.
   */
  readonly reservesForUrgent?: () => boolean;
}

/** State of one customer. */
interface Balance {
  /** Bucket for this host's share of the rate. */
  readonly hostBucket: Bucket;
  /**
   * Bucket for the global rate, from which all known spending of all hosts is
   * taken.
   */
  readonly globalBucket: Bucket;
  /** What all hosts have admitted in the last seconds, as far as it is known. */
  readonly recent: SpendingHistory;
  /** The part of it that was restored when this host started. */
  readonly restored: SpendingHistory;
  /** Units this host has admitted. */
  spent: number;
}

/**
 * Fraction of the rate that is divided evenly among hosts, whatever the demand.
 */
const EVEN_FRACTION = 0.4;
/** Demand below which none is known, in units per second; avoids a division by 0. */
const MIN_DEMAND = 1e-6;
const MIN_RETRY_MS = 50;
/**
 * Fraction of the allowed excess that is used; the rest is a reserve for
 * restarts.
 */
const USED_EXCESS_FRACTION = 0.6;
/**
 * Time until the spending of one host is known to the others. It covers two
 * heartbeat intervals and the forwarding by aggregators.
 */
const PROPAGATION_MS = 1000;
/**
 * Maximum fraction of unreachable hosts with which the global bucket is still
 * used. Among many hosts some are always restarting. The global bucket is
 * reduced by their part of the rate, which they may be spending.
 */
const MAX_UNREACHABLE_FRACTION = 0.1;
/**
 * Number of hosts above which too many may admit a large request before they know of each
 * other's to use the allowed excess for it.
 */
const MANY_HOSTS = 32;
/**
 * Fraction of the used excess by which up to `MANY_HOSTS` hosts may exceed the global
 * bucket with requests larger than their own. The rest is for what they admit before they
 * know of each other. Without it, small requests could starve large ones.
 */
const OVERDRAFT_FRACTION = 0.5;
/**
 * Fraction of the used excess by which all hosts together may exceed the rate. The shares of
 * the hosts use the excess as well, so both add up when an overload begins suddenly; with
 * twice this fraction, 61 hosts exceed the bound at seven times the rate.
 */
const GLOBAL_EXCESS_FRACTION = 0.3;
const MS_PER_SECOND = 1000;
const SHARE_DIGITS = 3;

/**
 * Keeps each customer within its rate over all hosts without a round trip per
 * request.
 *
 * Every host may spend a share of the rate. A part of the rate is divided
 * evenly, so that a host that has just started or is partitioned can serve. The
 * rest is divided by the demand that the hosts have measured and reported to
 * each other. A host that stops responding keeps its share, since it may still
 * be serving customers.
 *
 * Shares alone would refuse requests of a customer that stays within its rate
 * but whose large requests reach the same host. So a request is also admitted if
 * the spending of all hosts is within the global rate, less a reserve for what
 * may be spent before it is reported. This applies only while nearly all hosts
 * are reachable, and once this host has received the demand of its peers.
 */
export class Quota {
  private readonly balances = new Map<string, Balance>();
  private readonly peers = new PeerSpending();
  private readonly demand: DemandMeter;
  private readonly reportedDemand: ReportedDemand;
  private readonly reserve: UrgentReserve;
  private readonly createdMs: number;

  constructor(private readonly options: QuotaOptions) {
    this.createdMs = options.clock.monotonicMs();
    this.demand = new DemandMeter(options.clock);
    this.reportedDemand = new ReportedDemand(options.clock);
    this.reserve = new UrgentReserve(options.clock);
  }

  /** Returns this host's demand, as reported to peers. */
  listDemand(): Demand[] {
    return this.demand.list();
  }

  /**
   * Returns the units this incarnation of the host has admitted, as reported to
   * peers.
   */
  listSpending(): Spending[] {
    const spending: Spending[] = [];
    for (const [customer, {spent}] of this.balances) {
      spending.push({customer, units: spent});
    }
    return spending;
  }

  /**
   * Sums the units that this host has admitted and those counted for selected
   * origins. An origin is one incarnation of a host that reports spending, its
   * own or also that of other hosts.
   * @param picks - Returns whether to include an origin.
   */
  sumSpending(picks: (origin: string) => boolean): Spending[] {
    const sums = this.peers.sum(picks);
    for (const [customer, {spent}] of this.balances) {
      sums.set(customer, (sums.get(customer) ?? 0) + spent);
    }
    return [...sums].map(([customer, units]) => ({customer, units}));
  }

  /** Lists what all hosts have admitted in the last seconds, as far as it is known. */
  listRecentSpending(): ReadonlyMap<string, readonly PastSpending[]> {
    const recent = new Map<string, readonly PastSpending[]>();
    for (const [customer, balance] of this.balances) {
      recent.set(customer, balance.recent.list());
    }
    return recent;
  }

  /**
   * Subtracts what hosts admitted before this one started; called once for a customer.
   * What they admitted after the last known spending is estimated by its rate.
   */
  restoreSpending(customer: string, spending: readonly PastSpending[]): void {
    const balance = this.getBalance(customer);
    for (const {units, agoMs} of spending) {
      balance.recent.add(units, agoMs);
    }
    const all = [...spending, ...estimateUnknown(spending)];
    balance.globalBucket.spendPast(all);
    for (const {units, agoMs} of all) {
      balance.restored.add(units, agoMs);
    }
  }

  /** Returns the counted units of one origin, by customer. */
  listSpendingOf(origin: string): ReadonlyMap<string, number> {
    return this.peers.get(origin);
  }

  /**
   * Records a peer's report of all units it has admitted.
   * @param origin - The reporting incarnation of the peer.
   * @param spending - Its totals, which only increase.
   * @param counting - Which reports of this origin are counted.
   */
  addPeerSpending(
    origin: string,
    spending: readonly Spending[],
    counting: CountingMode = CountingMode.ALL,
  ): void {
    const hasReported = this.peers.has(origin);
    const counted = this.peers.add(origin, spending, counting);
    for (const {customer, units} of counted) {
      const {globalBucket, recent} = this.getBalance(customer);
      // The first totals of an origin may be of hours; the initial level stands for them.
      if (hasReported || globalBucket.hasLimits()) {
        globalBucket.spend(units);
      }
      if (hasReported) {
        recent.add(units);
      }
    }
  }

  /**
   * Admits or refuses a request. The units of an admitted request are
   * subtracted from this host's bucket and from the global bucket of its
   * customer. A customer with a rate of 0 or less is unlimited.
   * @param account - The customer.
   * @param units - Units of the request.
   * @param rank - Rank of the request among the customer's; 0 is the most urgent.
   * @returns 0 if it is admitted; otherwise the time until it may be, in
   *   milliseconds.
   */
  take(account: Account, units: number, rank = 0): number {
    const {rate, name} = account;
    if (rate.perSecond <= 0) {
      return 0;
    }
    this.demand.add(name, units);
    this.reportedDemand.add(name, this.demand.get(name));
    this.reserve.addDemand(name, rank, units);
    const balance = this.getBalance(name);
    const share = this.getShare(name);
    const excess = this.getUsedExcess(rate);
    const depth = rate.burst + excess;
    // While too many hosts are unreachable, the global bucket decides on no request.
    const reachableFraction = this.reachesMostHosts()
      ? this.getReachableFraction()
      : 1;
    if (!balance.hostBucket.hasLimits()) {
      // Of what was spent before this host started, its share is taken from its bucket.
      const restored = balance.restored.list();
      balance.hostBucket.spendPast(
        restored.map(({agoMs, units}) => ({agoMs, units: units * share})),
      );
    }
    balance.hostBucket.setLimits(rate.perSecond * share, depth * share);
    balance.globalBucket.setLimits(
      rate.perSecond * reachableFraction,
      rate.burst * reachableFraction,
    );
    const isWithin =
      (balance.hostBucket.covers(units) &&
        !this.refusesOverdraft(balance, depth * share, units, excess)) ||
      this.isWithinGlobalRate(balance, name, rate, units);
    const leavesRoom = this.leavesRoom(balance, account, units, rank);
    if (isWithin && !leavesRoom) {
      this.reserve.addHeldBack(name, rank, units);
    }
    const isExempt = !leavesRoom && this.reserve.isExempt(name, rank, units);
    if (!isWithin || !(leavesRoom || isExempt)) {
      const waitMs = this.getWaitMs(balance, account, units, rank);
      return Math.max(MIN_RETRY_MS, waitMs);
    }
    if (isExempt) {
      this.reserve.spendExempt(name, rank, units);
    }
    balance.hostBucket.spend(units);
    balance.globalBucket.spend(units);
    balance.recent.add(units);
    balance.spent += units;
    return 0;
  }

  /** Returns the share of a customer's rate that this host may spend, 0 to 1. */
  getShare(customer: string): number {
    const hosts = Math.max(1, this.options.countHosts());
    return (
      EVEN_FRACTION / hosts +
      (1 - EVEN_FRACTION) * this.getDemandShare(customer, hosts)
    );
  }

  /**
   * Describes the values that decide on a customer's requests of a rank now, for the log.
   */
  describe(customer: string, rank = 0): Readonly<Record<string, string>> {
    const balance = this.getBalance(customer);
    const {hostBucket, globalBucket} = balance;
    const demand =
      this.demand.get(customer) + this.options.sumPeerDemand(customer);
    return {
      share: this.getShare(customer).toFixed(SHARE_DIGITS),
      share_left: hostBucket.getLevel().toFixed(0),
      whole_left: globalBucket.getLevel().toFixed(0),
      demand: demand.toFixed(0),
      reserved: this.getReserved(balance, customer, rank).toFixed(0),
    };
  }

  /**
   * Returns whether a request leaves the room that more urgent requests of the customer are
   * expected to need: in the global bucket, and if that alone does not admit the request,
   * in this host's as well. While too many hosts are unreachable, only the latter counts.
   */
  private leavesRoom(
    balance: Balance,
    {name, rate}: Account,
    units: number,
    rank: number,
  ): boolean {
    const {hostBucket, globalBucket} = balance;
    const reserved = this.getReserved(balance, name, rank);
    if (reserved === 0) {
      return true;
    }
    if (this.isWithinGlobalRate(balance, name, rate, units, reserved)) {
      return true;
    }
    const urgent = this.reserve.getMoreUrgent(name, rank);
    const ownReserved = this.reserve.getUnits(urgent, hostBucket.getDepth());
    return (
      hostBucket.covers(units, ownReserved) &&
      (!this.usesGlobalBucket() || globalBucket.covers(units, reserved))
    );
  }

  /**
   * Returns the units of the global bucket that a request of a rank leaves to more urgent
   * ones. The other hosts are assumed to have the same mix of ranks.
   */
  private getReserved(
    {globalBucket}: Balance,
    customer: string,
    rank: number,
  ): number {
    if (this.options.reservesForUrgent?.() !== true) {
      return 0;
    }
    const urgent = this.reserve.getMoreUrgent(customer, rank);
    const own = Math.max(MIN_DEMAND, this.demand.get(customer));
    const all = own + this.options.sumPeerDemand(customer);
    const urgentOfAll = (urgent / own) * all;
    return this.reserve.getUnits(urgentOfAll, globalBucket.getDepth());
  }

  /**
   * Returns the time until a refused request may be admitted, in milliseconds. Where the
   * global bucket decides, it may cover a large request long before this host's share does.
   */
  private getWaitMs(
    balance: Balance,
    {name, rate}: Account,
    units: number,
    rank: number,
  ): number {
    const hostMs = balance.hostBucket.getWaitMs(units);
    if (
      this.options.reservesForUrgent?.() !== true ||
      !this.usesGlobalBucket()
    ) {
      return hostMs;
    }
    const reserved =
      this.getReserved(balance, name, rank) +
      this.getUnreportedExcess(name, rate);
    const globalMs = balance.globalBucket.getWaitMs(units, reserved);
    return rank === 0 ? Math.min(hostMs, globalMs) : globalMs;
  }

  /** Returns whether the global bucket decides on requests now. */
  private usesGlobalBucket(): boolean {
    return this.reachesMostHosts() && this.isWarmedUp();
  }

  /**
   * Returns what may be spent beyond the rate before hosts receive each other's reports.
   */
  private getUnreportedExcess(customer: string, rate: Rate): number {
    const all =
      this.demand.get(customer) + this.options.sumPeerDemand(customer);
    const limit = rate.perSecond * this.getReachableFraction();
    return (Math.max(0, all - limit) * PROPAGATION_MS) / MS_PER_SECOND;
  }

  /**
   * Returns whether all hosts together are within the rate, as far as this host
   * knows; a request is then admitted whatever this host's bucket holds. What may
   * be spent beyond the rate before hosts receive each other's reports is
   * reserved. So a burst of a customer within its rate is admitted, and an
   * overload is not. Returns false while too many hosts are unreachable, and
   * until this host has run for `PROPAGATION_MS`.
   */
  private isWithinGlobalRate(
    balance: Balance,
    customer: string,
    rate: Rate,
    units: number,
    reservedForUrgent = 0,
  ): boolean {
    const reserved =
      this.getUnreportedExcess(customer, rate) + reservedForUrgent;
    const excess =
      this.options.reservesForUrgent?.() === true
        ? this.getUsedExcess(rate) * GLOBAL_EXCESS_FRACTION
        : 0;
    return (
      this.usesGlobalBucket() &&
      balance.globalBucket.covers(units, reserved - excess)
    );
  }

  /**
   * Returns whether this host has run long enough to have received its peers'
   * demand. Before that, their demand reads as zero and nothing would be
   * reserved.
   */
  private isWarmedUp(): boolean {
    return this.options.clock.monotonicMs() - this.createdMs >= PROPAGATION_MS;
  }

  /**
   * Returns whether a request is refused although this host's bucket admits it. A
   * bucket admits a request larger than itself when half full, and its level
   * becomes negative. With several hosts, each could do so, and the sum would exceed
   * the rate. Such a request is then admitted only if the global bucket covers
   * it, unless too many hosts are unreachable.
   * @param excess - Part of the allowed excess that may be used, in units.
   */
  private refusesOverdraft(
    balance: Balance,
    shareDepth: number,
    units: number,
    excess: number,
  ): boolean {
    const hosts = this.options.countHosts();
    const overdraft = excess * this.getOverdraftFraction(hosts);
    return (
      hosts > 1 &&
      units > shareDepth &&
      this.reachesMostHosts() &&
      !balance.globalBucket.covers(units, -overdraft)
    );
  }

  private getOverdraftFraction(hosts: number): number {
    if (this.options.reservesForUrgent?.() === true) {
      // The global bucket admits other requests up to the same level.
      return GLOBAL_EXCESS_FRACTION;
    }
    return hosts > MANY_HOSTS ? 0 : OVERDRAFT_FRACTION;
  }

  /**
   * Returns whether nearly all of the hosts that may be admitting requests are
   * reachable.
   */
  private reachesMostHosts(): boolean {
    return 1 - this.getReachableFraction() <= MAX_UNREACHABLE_FRACTION;
  }

  /**
   * Returns the fraction of hosts that are reachable. The global bucket gets this
   * fraction of the rate; the rest is left to the unreachable hosts.
   */
  private getReachableFraction(): number {
    const hosts = Math.max(1, this.options.countHosts());
    return Math.min(1, this.options.countReachableHosts() / hosts);
  }

  /**
   * Returns the part of the allowed excess that may be used for bursts, in
   * units.
   */
  private getUsedExcess(rate: Rate): number {
    const {windowMs, overage, slack} = this.options.getBound();
    const inWindow = (rate.perSecond * windowMs) / MS_PER_SECOND + rate.burst;
    return (overage * inWindow + slack) * USED_EXCESS_FRACTION;
  }

  /**
   * Returns this host's part of the rate that is divided by demand, 0 to 1. While no
   * demand can be known, all hosts have the same part. What the peers cannot know yet of
   * this host's demand counts only up to the mean of theirs: the shares of all hosts would
   * else add up to more than 1 when a customer begins to send at all of them at once.
   */
  private getDemandShare(customer: string, hosts: number): number {
    const peers = this.options.sumPeerDemand(customer);
    const mean = peers / Math.max(1, hosts - 1);
    const known = Math.max(mean, this.reportedDemand.get(customer));
    const own = Math.min(this.demand.get(customer), known);
    const all = own + peers;
    return !this.isWarmedUp() || all < MIN_DEMAND
      ? 1 / hosts
      : (own / all) * this.getDemandCoverage();
  }

  /**
   * Returns the fraction of hosts whose demand is known. While not every peer has
   * reported its demand, only the evenly divided part of the rate is certain.
   */
  private getDemandCoverage(): number {
    const reporting = this.options.countReportingHosts() + 1;
    return Math.min(1, reporting / Math.max(1, this.options.countHosts()));
  }

  private getBalance(customer: string): Balance {
    const known = this.balances.get(customer);
    if (known !== undefined) {
      return known;
    }
    const {clock} = this.options;
    const balance = {
      hostBucket: new Bucket(clock),
      globalBucket: new Bucket(clock),
      recent: new SpendingHistory(clock),
      restored: new SpendingHistory(clock),
      spent: 0,
    };
    this.balances.set(customer, balance);
    return balance;
  }
}
