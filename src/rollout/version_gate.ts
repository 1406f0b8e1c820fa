import {FleetServer} from '../fleet/index.js';
import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';
import {RolloutState} from './rollout.js';
import {RolloutOrder} from './rollout_order.js';
import {RolloutOrders} from './rollout_orders.js';
import {RolloutWord} from './rollout_word.js';
import {RolloutWords} from './rollout_words.js';

/** Tells whether a server may get a request. */
export type AllowsServer = (server: FleetServer) => boolean;

/** What the gate works with. */
export interface VersionGateOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly orders: RolloutOrders;
  readonly words: RolloutWords;
  /** Counts the servers of a service that take work, by version. */
  readonly countReady: (service: string) => ReadonlyMap<string, number>;
}

/** Time for which the versions that are there are not counted anew, in ms. */
const COUNTED_MS = 100;
/**
 * Time without any word after which a host whose service has servers of the ordered
 * version only sends there, in milliseconds: the old ones are gone, so the roll-out
 * ended well before this host started.
 */
const LEFT_ALONE_MS = 5000;

/** The versions that take work, as counted at one moment. */
interface CountedVersions {
  readonly countedMs: number;
  /** That with most servers. */
  readonly usual: string;
  readonly versions: ReadonlyMap<string, number>;
}

/** Decides which versions of a service may get a request. */
export class VersionGate {
  private readonly counted = new Map<string, CountedVersions>();
  /** Since when an order is known without any word of it, monotonic ms. */
  private readonly unheardMs = new Map<number, number>();

  constructor(private readonly options: VersionGateOptions) {}

  /**
   * Draws the version for one sending of a request.
   * @param service - The service.
   * @param isFirst - Whether it is the first sending: what failed is sent to the
   *   version that served before.
   * @returns What tells which servers may get it; nothing where all may.
   */
  draw(service: string, isFirst: boolean): AllowsServer | undefined {
    const order = this.options.orders.get(service);
    const {versions, usual} = this.count(service);
    if (order === undefined) {
      // Servers of a version that no order has named may not be used yet.
      return versions.size === 0 ? undefined : hasVersion(usual);
    }
    const word = this.options.words.get(service, order.number);
    if (word === undefined) {
      return this.drawUnheard(order, versions);
    }
    return this.drawByWord(word, isFirst);
  }

  private drawByWord(word: RolloutWord, isFirst: boolean): AllowsServer {
    const {words, random} = this.options;
    const {state, share, from, to, service} = word;
    if (state === RolloutState.COMPLETED) {
      return hasVersion(to);
    }
    if (state === RolloutState.ROLLED_BACK || !words.isFresh(service)) {
      return hasVersion(from);
    }
    const isTried = share >= 1 || (isFirst && random.next() < share);
    return hasVersion(isTried ? to : from);
  }

  private drawUnheard(
    {to, number}: RolloutOrder,
    versions: ReadonlyMap<string, number>,
  ): AllowsServer {
    const nowMs = this.options.clock.monotonicMs();
    const sinceMs = this.unheardMs.get(number) ?? nowMs;
    this.unheardMs.set(number, sinceMs);
    const isOnly = versions.size === 1 && versions.has(to);
    if (isOnly && nowMs - sinceMs > LEFT_ALONE_MS) {
      return hasVersion(to);
    }
    return server => (server.version ?? '') !== to;
  }

  private count(service: string): CountedVersions {
    const nowMs = this.options.clock.monotonicMs();
    const known = this.counted.get(service);
    if (known !== undefined && nowMs - known.countedMs < COUNTED_MS) {
      return known;
    }
    const versions = this.options.countReady(service);
    const usual = findUsualVersion(versions);
    const counted = {countedMs: nowMs, versions, usual};
    this.counted.set(service, counted);
    return counted;
  }
}

/** Returns the version with most servers; of several, the first by name. */
export function findUsualVersion(
  versions: ReadonlyMap<string, number>,
): string {
  let usual = '';
  let most = 0;
  for (const [version, count] of versions) {
    if (count > most || (count === most && version < usual)) {
      usual = version;
      most = count;
    }
  }
  return usual;
}

function hasVersion(version: string): AllowsServer {
  return server => (server.version ?? '') === version;
}
