import {z} from 'zod';
import {Log} from '../log/index.js';
import {Peers} from '../peer/index.js';
import {HostUsage, UsageLedger, WindowUsage} from '../usage/index.js';

/** Maximum number of origins in one reply. */
const MAX_ORIGINS = 10_000;
const REQUEST_TIMEOUT_MS = 500;
/** Number of windows that may still change: the current one and the one before it. */
const OPEN_WINDOWS = 2;

/** Reply to a request for usage: origins with their counts. */
const usageSchema = z
  .array(z.tuple([z.string(), z.record(z.string(), z.number().min(0))]))
  .max(MAX_ORIGINS);

/** Dependencies of the messages about usage. */
export interface UsageMessagesOptions {
  /** Host and incarnation of this process. */
  readonly origin: string;
  readonly log: Log;
  readonly ledger: UsageLedger;
  readonly hostUsage: HostUsage;
  readonly requestPeer: Peers['request'];
  /** Returns the hosts that together know the usage of every host. */
  readonly listSources: () => readonly string[];
}

/** Exchanges the request counts of each window between peers. */
export class UsageMessages {
  constructor(private readonly options: UsageMessagesOptions) {}

  /**
   * Lists the counts of this host's windows.
   * @param all - Whether to include the windows that have ended. They no longer change,
   *   so a peer that has received a report before has them.
   */
  listWindows(all: boolean): WindowUsage[] {
    const windows = this.options.ledger.list();
    const newest = Math.max(...windows.map(({window}) => window));
    return windows.filter(({window}) => all || window > newest - OPEN_WINDOWS);
  }

  /** Lists the known counts of a window, by origin. */
  list(window: number): z.input<typeof usageSchema> {
    const {hostUsage, ledger, origin} = this.options;
    const others = hostUsage
      .list(window)
      .map(([other, counts]): [string, Record<string, number>] => [
        other,
        {...counts},
      ]);
    return [...others, [origin, {...ledger.getCounts(window)}]];
  }

  /** Requests the counts of a window from the hosts that know them. */
  async gather(window: number): Promise<void> {
    const hosts = this.options.listSources();
    await Promise.all(hosts.map(host => this.request(host, window)));
  }

  private async request(host: string, window: number): Promise<void> {
    const {requestPeer, hostUsage, log} = this.options;
    const reply = await requestPeer(
      host,
      {kind: 'usage', window},
      REQUEST_TIMEOUT_MS,
    );
    const parsed = usageSchema.safeParse(reply.unwrapOr(undefined));
    if (!parsed.success) {
      log.warn('usage_not_told', {peer: host, window});
      return;
    }
    for (const [origin, counts] of parsed.data) {
      hostUsage.add(origin, [{window, counts}]);
    }
  }
}
