import {Metrics} from '../metrics/index.js';
import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';
import {RecentMaximum} from './recent_maximum.js';
import {RetryBucket, RetryRates} from './retry_bucket.js';
import {RetryBudgetState} from './retry_budget_state.js';
import {RetryLimit} from './retry_limit.js';

/** Dependencies of the retry budget. */
export interface SharedRetryBudgetOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly getLimit: () => RetryLimit;
}

/**
 * Share of the limit that is used. The rest is for retries that were allowed before a window
 * and reach their server in it, and for hosts that join, which have earned a part of the slack
 * before the others divide it by more.
 */
const USED_SHARE = 0.95;
/**
 * Share of the retries for requests that is earned by the requests of the current window, as
 * a process can that has just started. The rest are in advance, for the requests of the window
 * before. Hosts that run on use both; less lets them send more at once, more lets processes
 * send more that have just started, or got the traffic of others.
 */
const EARNED_SHARE = 0.5;
/** The same share of the slack, most of which is for failures that come at once. */
const EARNED_SLACK_SHARE = 0.35;
/**
 * Time for which a host counts though this one no longer knows it, in milliseconds. Hosts
 * that are cut off forget each other long before the partition ends, and go on serving.
 */
const HOST_MEMORY_MS = 3_600_000;

/**
 * Time after the start in which a host may not know all others yet, in milliseconds. It would
 * divide the slack by too few; many that start together would take it several times over.
 */
const HOST_DISCOVERY_MS = 3000;

/**
 * Keeps the retries of each service over all hosts below a share of its requests plus the
 * slack, in each window and without messages between hosts. Each host earns retries by its
 * own requests and its part of the slack by time, and may send some in advance. What all
 * hosts together have in advance at the start of a window and earn in it stays within the
 * limit: see `RetryBucket`.
 */
export class SharedRetryBudget {
  private readonly buckets = new Map<string, RetryBucket>();
  private readonly hosts = new RecentMaximum(HOST_MEMORY_MS);
  private readonly createdMs: number;
  /**
   * When this host last could not know among how many to divide the slack, or was created,
   * monotonic milliseconds.
   */
  private unknownMs: number;

  constructor(private readonly options: SharedRetryBudgetOptions) {
    const {clock, metrics} = options;
    this.createdMs = clock.monotonicMs();
    this.unknownMs = this.createdMs;
    metrics.addCounter(
      'retries',
      'Retries that the budget of a service allowed or denied',
    );
    this.addGauge(
      'retry_budget_requests',
      'Requests of the last window that earn retries',
      ({requests}) => requests,
    );
    this.addGauge(
      'retry_budget_left',
      'Retries that this host may spend now',
      ({left}) => left,
    );
    metrics.addGauge(
      'retry_budget_hosts',
      'Hosts among which the slack of the retry budget is divided',
      () => this.getShare(this.options.getLimit()).hosts,
    );
  }

  /** Counts a request of a service. */
  addRequest(service: string): void {
    const nowMs = this.options.clock.monotonicMs();
    this.getBucket(service).addRequest(nowMs, this.getCurrentRates());
  }

  /** Takes one retry from the budget; returns whether one was available. */
  spend(service: string): boolean {
    const nowMs = this.options.clock.monotonicMs();
    const isAllowed = this.getBucket(service).take(
      nowMs,
      this.getCurrentRates(),
    );
    this.options.metrics.increment('retries', {
      service,
      result: isAllowed ? 'allowed' : 'denied',
    });
    return isAllowed;
  }

  /** Returns what decides on the retries of a service now. */
  getState(service: string): RetryBudgetState {
    const nowMs = this.options.clock.monotonicMs();
    const limit = this.options.getLimit();
    const share = this.getShare(limit);
    const rates = this.createRates(limit, share.slack);
    return {
      ...this.getBucket(service).getState(nowMs, rates),
      ...share,
      ageMs: this.getAgeMs(),
    };
  }

  private getCurrentRates(): RetryRates {
    const limit = this.options.getLimit();
    return this.createRates(limit, this.getShare(limit).slack);
  }

  /** @param hostSlack - This host's part of the slack, in retries per window. */
  private createRates(
    {ratio, windowMs}: RetryLimit,
    hostSlack: number,
  ): RetryRates {
    const perRequest = ratio * USED_SHARE;
    const slack = hostSlack * USED_SHARE;
    return {
      perRequest: perRequest * EARNED_SHARE,
      advancePerRequest: perRequest * (1 - EARNED_SHARE),
      perMs: (slack * EARNED_SLACK_SHARE) / windowMs,
      advance: slack * (1 - EARNED_SLACK_SHARE),
      earnedSinceMs: this.unknownMs,
      advanceSinceMs: this.unknownMs + HOST_DISCOVERY_MS,
      windowMs,
    };
  }

  /**
   * Returns this host's part of the slack, which is 0 as long as it cannot know its part, and
   * among how many hosts the slack is divided.
   */
  private getShare(
    limit: RetryLimit,
  ): Pick<RetryBudgetState, 'slack' | 'hosts'> {
    const nowMs = this.options.clock.monotonicMs();
    const hosts = this.hosts.add(limit.hosts ?? 1, nowMs);
    if (limit.hosts === undefined || hosts === 1) {
      this.unknownMs = nowMs;
    }
    const knowsHosts = nowMs >= this.unknownMs + HOST_DISCOVERY_MS;
    return {slack: knowsHosts ? limit.slack / hosts : 0, hosts};
  }

  private getAgeMs(): number {
    return this.options.clock.monotonicMs() - this.createdMs;
  }

  private addGauge(
    name: string,
    help: string,
    read: (state: RetryBudgetState) => number,
  ): void {
    this.options.metrics.addLabelledGauge(name, help, () =>
      [...this.buckets.keys()].map(service => [
        {service},
        read(this.getState(service)),
      ]),
    );
  }

  private getBucket(service: string): RetryBucket {
    const known = this.buckets.get(service);
    if (known !== undefined) {
      return known;
    }
    const {random, getLimit} = this.options;
    const bucket = new RetryBucket(random, this.createdMs, getLimit().windowMs);
    this.buckets.set(service, bucket);
    return bucket;
  }
}
