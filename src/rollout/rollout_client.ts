import {Result} from 'true-myth';
import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {isFinal} from './rollout.js';
import {RolloutOrder} from './rollout_order.js';
import {RolloutOrders} from './rollout_orders.js';
import {
  RolloutReply,
  rolloutReplySchema,
  RolloutReport,
} from './rollout_messages.js';
import {RolloutDirectives} from './rollout_directives.js';
import {VersionCounter} from './version_counter.js';

/** Options of the client. */
export interface RolloutClientOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly orders: RolloutOrders;
  readonly directives: RolloutDirectives;
  readonly counter: VersionCounter;
  /** Name of this host. */
  readonly host: string;
  /** Handles a report on this host; the reply says whether it holds the duty. */
  readonly handleLocally: (report: RolloutReport) => RolloutReply;
  /** Finds the host that holds the duty; `undefined` if it cannot be determined. */
  readonly findHolder: () => Promise<string | undefined>;
  readonly requestPeer: (
    host: string,
    body: unknown,
    timeoutMs: number,
  ) => Promise<Result<unknown, Error>>;
}

/** Pause between reports, in milliseconds; a directive of the holder expires after 2 s. */
const REPORT_INTERVAL_MS = 400;
const REPLY_TIMEOUT_MS = 800;
/** Pause between checks for an order while there is none, in milliseconds. */
const IDLE_INTERVAL_MS = 1000;
/** Shortest pause between look-ups of the holder, in ms; each is a call to the table. */
const HOLDER_LOOKUP_INTERVAL_MS = 1000;

/**
 * Reports the counts of this host in each rollout to the holder of the duty and receives
 * its directives. Sends nothing while there is no running rollout.
 */
export class RolloutClient {
  private holder: string | undefined;
  private lastLookupMs = Number.NEGATIVE_INFINITY;
  /** Numbers of the orders for which this host has started to count. */
  private readonly countedOrders = new Set<number>();

  constructor(private readonly options: RolloutClientOptions) {}

  /** Runs until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.step();
      const isIdle = this.options.orders.list().length === 0;
      await this.options.clock.sleep(
        isIdle ? IDLE_INTERVAL_MS : REPORT_INTERVAL_MS,
        signal,
      );
    }
  }

  /** Sends one report for each rollout that has not ended. */
  async step(): Promise<void> {
    const {orders, directives, counter} = this.options;
    for (const order of orders.list()) {
      const {service, number} = order;
      if (!this.countedOrders.has(number)) {
        this.countedOrders.add(number);
        counter.reset(service);
      }
      const directive = directives.get(service, number);
      if (directive === undefined || !isFinal(directive)) {
        await this.report(order);
      }
    }
  }

  private async report({service, number}: RolloutOrder): Promise<void> {
    const {counter, directives, handleLocally} = this.options;
    const report: RolloutReport = {
      kind: 'rollout',
      service,
      order: number,
      counts: counter.list(service),
    };
    const localReply = handleLocally(report);
    const reply = localReply.isHolder
      ? localReply
      : await this.reportToHolder(report);
    if (reply?.word !== undefined) {
      directives.add(reply.word);
    }
  }

  private async reportToHolder(
    report: RolloutReport,
  ): Promise<RolloutReply | undefined> {
    const holder = await this.getHolder();
    if (holder === undefined || holder === this.options.host) {
      this.holder = undefined;
      return undefined;
    }
    const {requestPeer} = this.options;
    const reply = await requestPeer(holder, report, REPLY_TIMEOUT_MS);
    const answer = rolloutReplySchema.safeParse(reply.unwrapOr(undefined));
    if (!answer.success || !answer.data.isHolder) {
      this.holder = undefined;
    }
    return answer.data;
  }

  private async getHolder(): Promise<string | undefined> {
    const {clock, findHolder} = this.options;
    const nowMs = clock.monotonicMs();
    if (
      this.holder === undefined &&
      nowMs - this.lastLookupMs >= HOLDER_LOOKUP_INTERVAL_MS
    ) {
      this.lastLookupMs = nowMs;
      this.holder = await findHolder();
    }
    return this.holder;
  }
}
