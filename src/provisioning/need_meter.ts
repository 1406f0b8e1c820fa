import {Service} from '../catalog/index.js';
import {Clock} from '../time/index.js';
import {ServiceWork} from './service_work.js';

/** Number of servers that a service's load requires. */
export interface Need {
  /** Servers at which short requests still begin in time behind long ones. */
  readonly needed: number;
  /** Servers below which the work accumulates. */
  readonly least: number;
  /** Number of servers up to which none that exists is released. */
  readonly kept: number;
}

/** Load of one service at one time, in fully busy servers. */
interface Sample {
  readonly atMs: number;
  readonly busy: number;
}

/**
 * Prompt tokens that an engine computes per second, unless its rate is learned; `Fleet`
 * assumes the same.
 */
const PREFILL_TOKENS_PER_S = 100_000;
/** Share of an engine's time that prompts may take if answers are to be in time. */
const TARGET_BUSY_SHARE = 0.28;
/** Share of an engine's time that prompts may take for a short time. */
const MAX_BUSY_SHARE = 0.42;
/** Requests in flight, relative to the slots, that count as a fully busy engine. */
const FULL_SLOTS_SHARE = 1.2;
/** Time over which the maximum load determines the servers needed, in milliseconds. */
const NEED_WINDOW_MS = 20_000;
/** Time over which the maximum load determines the least servers, in milliseconds. */
const LEAST_WINDOW_MS = 6000;
/** Time after the start from which servers are ordered without load, in milliseconds. */
const ORDER_DELAY_MS = 3000;
/** Time after the start in which existing servers are discovered, in milliseconds. */
const DISCOVERY_MS = 6000;
/** Time for which the load is measured before servers are released, in milliseconds. */
const RELEASE_DELAY_MS = 8000;
/**
 * Share of the servers of the first seconds that is always kept, since operators
 * sized those for more than the load at a quiet time.
 */
const KEPT_SHARE = 1;
/** Slots assumed for a server whose service does not state them. */
const DEFAULT_SLOTS = 8;

/** Determines how many servers the load of a service requires. */
export class NeedMeter {
  private readonly samples = new Map<string, Sample[]>();
  private readonly baselines = new Map<string, number>();
  private readonly startMs: number;
  private hasSeenWork = false;

  /**
   * @param clock - Clock.
   * @param getPrefillRate - Returns the prompt tokens per second that an engine of a
   *   service computes; `undefined` if it is not learned.
   */
  constructor(
    private readonly clock: Clock,
    private readonly getPrefillRate: (
      service: string,
    ) => number | undefined = () => undefined,
  ) {
    this.startMs = clock.monotonicMs();
  }

  /** Returns whether servers may be ordered: load was seen, or discovery had time. */
  isReady(): boolean {
    return this.hasSeenWork || this.getAgeMs() > ORDER_DELAY_MS;
  }

  /**
   * Returns whether the load was measured for long enough to release servers: a
   * process that has just started sees little of it.
   */
  mayRelease(): boolean {
    return this.getAgeMs() > RELEASE_DELAY_MS;
  }

  /**
   * Returns the servers needed for the maximum load of the last seconds. The servers
   * that were discovered before any load was seen are kept.
   * @param service - The service.
   * @param work - Its current load.
   * @param present - Its current number of servers.
   */
  getNeed(service: Service, work: ServiceWork, present: number): Need {
    const nowMs = this.clock.monotonicMs();
    const slots = service.engine?.slots ?? DEFAULT_SLOTS;
    const busy = Math.max(
      work.prefillPerSecond /
        (this.getPrefillRate(service.name) ?? PREFILL_TOKENS_PER_S),
      work.running / (slots * FULL_SLOTS_SHARE),
    );
    const first = this.getBaseline(service.name, present);
    this.hasSeenWork ||= busy > 0;
    const samples = this.samples.get(service.name) ?? [];
    const recent = samples.filter(
      sample => sample.atMs > nowMs - NEED_WINDOW_MS,
    );
    recent.push({atMs: nowMs, busy});
    this.samples.set(service.name, recent);
    const most = getMost(recent, nowMs - NEED_WINDOW_MS);
    const kept = first * KEPT_SHARE;
    return {
      kept,
      // Requests that a limit keeps away from servers are not measured as load.
      needed: Math.max(kept, most / TARGET_BUSY_SHARE) + work.limited,
      least: getMost(recent, nowMs - LEAST_WINDOW_MS) / MAX_BUSY_SHARE,
    };
  }

  private getAgeMs(): number {
    return this.clock.monotonicMs() - this.startMs;
  }

  private getBaseline(service: string, present: number): number {
    const baseline = this.baselines.get(service) ?? 0;
    if (this.hasSeenWork || this.getAgeMs() > DISCOVERY_MS) {
      return baseline;
    }
    const most = Math.max(baseline, present);
    this.baselines.set(service, most);
    return most;
  }
}

function getMost(samples: readonly Sample[], sinceMs: number): number {
  let most = 0;
  for (const {atMs, busy} of samples) {
    most = atMs > sinceMs ? Math.max(most, busy) : most;
  }
  return most;
}
