import {Account, Rate} from '../catalog/index.js';
import {Clock} from '../time/index.js';
import {Bucket} from './bucket.js';
import {Demand} from './demand.js';
import {DemandMeter} from './demand_meter.js';
import {Counting, PeerSpending} from './peer_spending.js';
import {Spending} from './spending.js';

/** How far over a customer's rate all hosts together may go in a span. */
export interface QuotaBound {
  /** The span, in milliseconds. */
  readonly windowMs: number;
  /** Share of the rate that may be exceeded. */
  readonly overage: number;
  /** Units that may be exceeded besides. */
  readonly slack: number;
}

/** What the quota works with. */
export interface QuotaOptions {
  readonly clock: Clock;
  /** Returns a customer's demand at the other hosts, as told last, heard or not. */
  readonly sumPeerDemand: (customer: string) => number;
  /** Returns how many other hosts that demand is of. */
  readonly countTold: () => number;
  /** Returns the hosts that may be spending, this one included. */
  readonly countHosts: () => number;
  /** Returns how many of them were heard just now, this one included. */
  readonly countHeard: () => number;
  readonly getBound: () => QuotaBound;
}

/** What is kept of one customer. */
interface Balance {
  /** This host's share of the rate. */
  readonly share: Bucket;
  /** The whole rate, less what every host is known to have spent. */
  readonly whole: Bucket;
  /** Units this host has let through. */
  spent: number;
}

/** Part of the rate that is divided evenly, whatever the demand. */
const EVEN_SHARE = 0.4;
/** Demand assumed of a customer that was not seen, against division by 0. */
const MIN_DEMAND = 1e-6;
const MIN_RETRY_MS = 50;
/** Share of the bound's own room that is used; the rest is for restarts. */
const MARGIN_SHARE = 0.6;
/**
 * Time in which what one host lets through is known to the others, in
 * milliseconds: two heartbeats, and the way by aggregators.
 */
const WORD_MS = 1000;
/**
 * Share of the hosts that may be unheard while the whole still decides: of many
 * hosts some always restart, and what they may spend is set aside for them.
 */
const FEW_UNHEARD_SHARE = 0.1;
/** Hosts beyond which one's part of a rate is less than a large request. */
const MANY_HOSTS = 32;
const MS_PER_SECOND = 1000;
const SHARE_DIGITS = 3;

/**
 * Keeps each customer within its rate over all hosts without a round trip.
 *
 * Every host may spend a share of the rate: a part that is divided evenly, so
 * that a host that boots or is cut off can serve, and the rest by the demand
 * that hosts have measured and told each other. A host that falls silent keeps
 * its share, since it may be serving where it cannot be heard.
 *
 * Shares alone would refuse a customer that stays within its rate but whose
 * large requests meet one host. So while hosts are heard, what all of them have
 * spent decides as well, less what may be spent before it is heard of.
 */
export class Quota {
  private readonly balances = new Map<string, Balance>();
  private readonly peers = new PeerSpending();
  private readonly demand: DemandMeter;
  private readonly startMs: number;

  constructor(private readonly options: QuotaOptions) {
    this.startMs = options.clock.monotonicMs();
    this.demand = new DemandMeter(options.clock);
  }

  /** Returns this host's demand, to tell peers. */
  listDemand(): Demand[] {
    return this.demand.list();
  }

  /** Returns what this start of the host has let through, to tell peers. */
  listSpending(): Spending[] {
    const spending: Spending[] = [];
    for (const [customer, {spent}] of this.balances) {
      spending.push({customer, units: spent});
    }
    return spending;
  }

  /**
   * Sums what origins that a function picks, and this host, have let through.
   * @param picks - Picks origins: hosts and their starts.
   */
  sumSpending(picks: (origin: string) => boolean): Spending[] {
    const sums = this.peers.sum(picks);
    for (const [customer, {spent}] of this.balances) {
      sums.set(customer, (sums.get(customer) ?? 0) + spent);
    }
    return [...sums].map(([customer, units]) => ({customer, units}));
  }

  /** Returns what was counted of one origin, by customer. */
  listSpendingOf(origin: string): ReadonlyMap<string, number> {
    return this.peers.get(origin);
  }

  /**
   * Takes in what a peer has let through in all.
   * @param origin - Host and start that counted.
   * @param spending - Its sums, which only rise.
   * @param counting - Whether this word counts.
   */
  addPeerSpending(
    origin: string,
    spending: readonly Spending[],
    counting: Counting = Counting.ALL,
  ): void {
    const counted = this.peers.add(origin, spending, counting);
    for (const {customer, units} of counted) {
      this.getBalance(customer).whole.spend(units);
    }
  }

  /**
   * Takes a request's units from its customer's share.
   * @param account - The customer.
   * @param units - What the request counts as.
   * @returns 0 if it may pass; else milliseconds until it may.
   */
  take(account: Account, units: number): number {
    const {rate, name} = account;
    if (rate.perSecond <= 0) {
      return 0;
    }
    this.demand.add(name, units);
    const balance = this.getBalance(name);
    const share = this.getShare(name);
    const depth = rate.burst + this.getMargin(rate);
    const heard = this.hearsMost() ? this.getHeardShare() : 1;
    balance.share.setFlow(rate.perSecond * share, depth * share);
    balance.whole.setFlow(rate.perSecond * heard, rate.burst * heard);
    const isWithin =
      (balance.share.covers(units) &&
        !this.exceedsWhole(balance, depth * share, units)) ||
      this.isWithinWhole(balance, name, rate, units);
    if (!isWithin) {
      return Math.max(MIN_RETRY_MS, balance.share.getWaitMs(units));
    }
    balance.share.spend(units);
    balance.whole.spend(units);
    balance.spent += units;
    return 0;
  }

  /** Returns the share of a customer's rate that this host may spend. */
  getShare(customer: string): number {
    const hosts = Math.max(1, this.options.countHosts());
    const own = Math.max(MIN_DEMAND, this.demand.get(customer));
    const all = own + this.options.sumPeerDemand(customer);
    return EVEN_SHARE / hosts + (1 - EVEN_SHARE) * (own / all) * this.trust();
  }

  /** Tells what decides on a customer's requests now, for the log. */
  describe(customer: string): Readonly<Record<string, string>> {
    const {share, whole} = this.getBalance(customer);
    const demand =
      this.demand.get(customer) + this.options.sumPeerDemand(customer);
    return {
      share: this.getShare(customer).toFixed(SHARE_DIGITS),
      share_left: share.getLevel().toFixed(0),
      whole_left: whole.getLevel().toFixed(0),
      demand: demand.toFixed(0),
    };
  }

  /**
   * Tells whether all hosts together are within the rate, as far as this one
   * knows: what may be spent beyond it before hosts hear of each other is
   * reserved. So a clump of requests within the rate passes, and a flood does not.
   */
  private isWithinWhole(
    balance: Balance,
    customer: string,
    rate: Rate,
    units: number,
  ): boolean {
    const all =
      this.demand.get(customer) + this.options.sumPeerDemand(customer);
    const excess = Math.max(0, all - rate.perSecond * this.getHeardShare());
    const reserved = (excess * WORD_MS) / MS_PER_SECOND;
    return (
      this.hearsMost() &&
      this.isWarmedUp() &&
      balance.whole.covers(units, reserved)
    );
  }

  /**
   * Tells whether this host has run for long enough to have its peers' demand.
   * Before that, demand reads as zero and nothing would be reserved.
   */
  private isWarmedUp(): boolean {
    return this.options.clock.monotonicMs() - this.startMs >= WORD_MS;
  }

  /**
   * Of many hosts, each is let through a request that is larger than its bucket
   * only while all together are within the rate: their debts add up.
   */
  private exceedsWhole(
    balance: Balance,
    shareDepth: number,
    units: number,
  ): boolean {
    const isMany = this.options.countHosts() > MANY_HOSTS;
    const isLarge = units > shareDepth;
    return (
      isMany && isLarge && this.hearsMost() && !balance.whole.covers(units)
    );
  }

  /** Tells whether all but a few of the hosts that may be spending are heard. */
  private hearsMost(): boolean {
    return 1 - this.getHeardShare() <= FEW_UNHEARD_SHARE;
  }

  /** What the others may spend is left to them. */
  private getHeardShare(): number {
    const hosts = Math.max(1, this.options.countHosts());
    return Math.min(1, this.options.countHeard() / hosts);
  }

  /** The bound's own room, used for requests that come in clumps. */
  private getMargin(rate: Rate): number {
    const {windowMs, overage, slack} = this.options.getBound();
    const inWindow = (rate.perSecond * windowMs) / MS_PER_SECOND + rate.burst;
    return (overage * inWindow + slack) * MARGIN_SHARE;
  }

  /** While not every peer has told its demand, only an even part is certain. */
  private trust(): number {
    const heard = this.options.countTold() + 1;
    return Math.min(1, heard / Math.max(1, this.options.countHosts()));
  }

  private getBalance(customer: string): Balance {
    const known = this.balances.get(customer);
    if (known !== undefined) {
      return known;
    }
    const {clock} = this.options;
    const balance = {
      share: new Bucket(clock),
      whole: new Bucket(clock),
      spent: 0,
    };
    this.balances.set(customer, balance);
    return balance;
  }
}
