import {z} from 'zod';
import {Log} from '../log/index.js';
import {Peers} from '../peer/index.js';
import {HostUsage, UsageLedger, WindowUsage} from '../usage/index.js';

/** Origins in one reply, at most. */
const MAX_ORIGINS = 10_000;
const GATHER_MS = 500;
/** Windows that may still change: the one that runs, and the one before it. */
const OPEN_WINDOWS = 2;

/** Reply to a question for usage: origins with their counts. */
const usageSchema = z
  .array(z.tuple([z.string(), z.record(z.string(), z.number().min(0))]))
  .max(MAX_ORIGINS);

/** What the words of usage are made of. */
export interface UsageWordsOptions {
  /** Host and start of this process. */
  readonly origin: string;
  readonly log: Log;
  readonly ledger: UsageLedger;
  readonly hostUsage: HostUsage;
  readonly requestPeer: Peers['request'];
  /** Returns the hosts that know, together, of every host's usage. */
  readonly listWitnesses: () => readonly string[];
}

/** Counts of each window, from peer to peer. */
export class UsageWords {
  constructor(private readonly options: UsageWordsOptions) {}

  /**
   * Lists this host's windows.
   * @param all - Whether to list those that have ended, too: they change no more,
   *   and a peer that has heard before knows them.
   */
  listWindows(all: boolean): WindowUsage[] {
    const windows = this.options.ledger.list();
    const newest = Math.max(...windows.map(({window}) => window));
    return windows.filter(({window}) => all || window > newest - OPEN_WINDOWS);
  }

  /** Lists what is known of a window, by origin. */
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

  /** Asks the hosts that know of a window's usage. */
  async gather(window: number): Promise<void> {
    const hosts = this.options.listWitnesses();
    await Promise.all(hosts.map(host => this.ask(host, window)));
  }

  private async ask(host: string, window: number): Promise<void> {
    const {requestPeer, hostUsage, log} = this.options;
    const reply = await requestPeer(host, {kind: 'usage', window}, GATHER_MS);
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
