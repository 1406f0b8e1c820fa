import {FleetServer} from '../fleet/index.js';
import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';
import {RolloutState} from './rollout.js';
import {RolloutOrder} from './rollout_order.js';
import {RolloutOrders} from './rollout_orders.js';
import {RolloutDirective} from './rollout_messages.js';
import {RolloutDirectives} from './rollout_directives.js';

/** Returns whether a server may receive a request. */
export type ServerPredicate = (server: FleetServer) => boolean;
/** The same if only the version matters. */
type VersionPredicate = (server: Pick<FleetServer, 'version'>) => boolean;

/** Options of the version selection. */
export interface VersionSelectorOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly orders: RolloutOrders;
  readonly directives: RolloutDirectives;
  /**
   * Returns whether servers of a further version serve only once an order names it. Otherwise
   * servers of several versions serve side by side.
   */
  readonly needsOrders: () => boolean;
  /** Returns whether a version has been known for long enough for new streams. */
  readonly isEstablished: (service: string, version: string) => boolean;
  /** Returns whether it is stored that streams can have begun at a version. */
  readonly isRecorded: (service: string, version: string) => boolean;
  /** Counts the servers of a service that accept work, by version. */
  readonly countReady: (service: string) => ReadonlyMap<string, number>;
}

/** Time for which counted versions are reused, in milliseconds. */
const COUNT_INTERVAL_MS = 100;
/**
 * Time without a directive after which a host uses the ordered version if all servers of
 * the service have it, in milliseconds. The old servers are gone by then, so the rollout
 * completed before this host started.
 */
const MAX_WAIT_FOR_DIRECTIVE_MS = 5000;

/** The versions whose servers accept work, as counted at one time. */
interface CountedVersions {
  readonly countedMs: number;
  /** The version with the most servers. */
  readonly majority: string;
  readonly versions: ReadonlyMap<string, number>;
}

/** Selects the version of a service that may receive a request. */
export class VersionSelector {
  private readonly counted = new Map<string, CountedVersions>();
  /** Time since which an order is known without a directive, by number, monotonic ms. */
  private readonly waitingSinceMs = new Map<number, number>();

  constructor(private readonly options: VersionSelectorOptions) {}

  /**
   * Selects the version for one attempt at a request, at random during a trial.
   * @param service - The service.
   * @param isFirst - Whether it is the first attempt; during a trial, later ones go to
   *   the previous version.
   * @returns A predicate of the servers that may receive it; `undefined` if all may.
   */
  select(service: string, isFirst: boolean): ServerPredicate | undefined {
    const order = this.options.orders.get(service);
    const {versions, majority} = this.count(service);
    if (order === undefined) {
      return this.selectWithoutOrder(service, versions, majority);
    }
    const directive = this.options.directives.get(service, order.number);
    if (directive === undefined) {
      return this.selectWithoutDirective(order, versions);
    }
    return this.selectByDirective(directive, isFirst);
  }

  /**
   * Returns whether a stream that began at a version may go on there. Nothing more is sent to a
   * version that was rolled back, or that another one has replaced.
   */
  permits(service: string, version: string): boolean {
    const order = this.options.orders.get(service);
    if (order === undefined) {
      return true;
    }
    const isOrdered = version === order.to;
    const directive = this.options.directives.get(service, order.number);
    if (directive === undefined) {
      const isAllowed = this.selectWithoutDirective(
        order,
        this.count(service).versions,
      );
      return isAllowed({version});
    }
    switch (directive.state) {
      case RolloutState.COMPLETED:
        return isOrdered;
      case RolloutState.ROLLED_BACK:
        return !isOrdered;
      default:
        return (
          !isOrdered ||
          (directive.share > 0 && this.options.directives.isFresh(service))
        );
    }
  }

  private selectWithoutOrder(
    service: string,
    versions: ReadonlyMap<string, number>,
    majority: string,
  ): ServerPredicate | undefined {
    const {needsOrders, isEstablished, isRecorded} = this.options;
    if (versions.size === 0) {
      return undefined;
    }
    if (needsOrders()) {
      // Servers of a version that no order names must not be used yet.
      return hasVersion(majority);
    }
    const established = [...versions.keys()].filter(version =>
      isEstablished(service, version),
    );
    const recorded = established.filter(version =>
      isRecorded(service, version),
    );
    // While the table is away, established versions serve nevertheless if no other one does.
    const usable = recorded.length > 0 ? recorded : established;
    return usable.length === 0 || usable.length === versions.size
      ? undefined
      : ({version = ''}) => usable.includes(version);
  }

  private selectByDirective(
    directive: RolloutDirective,
    isFirst: boolean,
  ): ServerPredicate {
    const {directives, isRecorded, random} = this.options;
    const {state, share, from, to, service} = directive;
    if (state === RolloutState.COMPLETED) {
      return hasVersion(to);
    }
    if (state === RolloutState.ROLLED_BACK || !directives.isFresh(service)) {
      return hasVersion(from);
    }
    const isOnTrial =
      isFirst && random.next() < share && isRecorded(service, to);
    const usesNewVersion = share >= 1 || isOnTrial;
    return hasVersion(usesNewVersion ? to : from);
  }

  private selectWithoutDirective(
    {to, number}: RolloutOrder,
    versions: ReadonlyMap<string, number>,
  ): VersionPredicate {
    const nowMs = this.options.clock.monotonicMs();
    const sinceMs = this.waitingSinceMs.get(number) ?? nowMs;
    this.waitingSinceMs.set(number, sinceMs);
    const isOnly = versions.size === 1 && versions.has(to);
    if (isOnly && nowMs - sinceMs > MAX_WAIT_FOR_DIRECTIVE_MS) {
      return hasVersion(to);
    }
    return server => (server.version ?? '') !== to;
  }

  private count(service: string): CountedVersions {
    const nowMs = this.options.clock.monotonicMs();
    const known = this.counted.get(service);
    if (known !== undefined && nowMs - known.countedMs < COUNT_INTERVAL_MS) {
      return known;
    }
    const versions = this.options.countReady(service);
    const majority = findMajorityVersion(versions);
    const counted = {countedMs: nowMs, versions, majority};
    this.counted.set(service, counted);
    return counted;
  }
}

/** Returns the version with the most servers; among several, the first by name. */
export function findMajorityVersion(
  versions: ReadonlyMap<string, number>,
): string {
  let majority = '';
  let most = 0;
  for (const [version, count] of versions) {
    if (count > most || (count === most && version < majority)) {
      majority = version;
      most = count;
    }
  }
  return majority;
}

function hasVersion(version: string): VersionPredicate {
  return server => (server.version ?? '') === version;
}
