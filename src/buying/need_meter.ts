import {Service} from '../catalog/index.js';
import {Clock} from '../time/index.js';
import {ServiceWork} from './service_work.js';

/** Servers that a service's work needs. */
export interface Need {
  /** Servers at which short requests begin in time behind long ones. */
  readonly needed: number;
  /** Servers without which the work piles up. */
  readonly least: number;
  /** Servers up to which none that is there is given back. */
  readonly kept: number;
}

/** Work of one service at a moment, in servers that are busy all the time. */
interface Sample {
  readonly atMs: number;
  readonly busy: number;
}

/** Prompt tokens an engine computes per second, as `Fleet` assumes. */
const PREFILL_PER_SECOND = 100_000;
/** Share of an engine's time that prompts may take for answers to be in time. */
const COMFORT_SHARE = 0.28;
/** Share of an engine's time that prompts may take for a while. */
const LEAST_SHARE = 0.42;
/** Share of an engine's places that count as all of its time. */
const PLACES_SHARE = 1.2;
/** Time for which a need is remembered, in milliseconds. */
const MEMORY_MS = 20_000;
/** Time for which the least need is remembered, in milliseconds. */
const LEAST_MEMORY_MS = 6000;
/** Time from the start after which servers are ordered, in milliseconds. */
const READY_MS = 3000;
/** Time from the start in which servers become known, in milliseconds. */
const LEARN_MS = 6000;
/** Time for which work is watched before servers are given back, in ms. */
const WATCHED_MS = 8000;
/**
 * Share of the servers of the first seconds that always stays, since operators
 * sized those for more than what is seen at a quiet time.
 */
const KEPT_SHARE = 1;
/** Places assumed of a server whose service does not say. */
const DEFAULT_SLOTS = 8;

/** Works out how many servers a service's work needs. */
export class NeedMeter {
  private readonly samples = new Map<string, Sample[]>();
  private readonly first = new Map<string, number>();
  private readonly startMs: number;
  private hasSeenWork = false;

  constructor(private readonly clock: Clock) {
    this.startMs = clock.monotonicMs();
  }

  /** Tells whether servers may be ordered: some that there were are known. */
  isReady(): boolean {
    return this.hasSeenWork || this.getAgeMs() > READY_MS;
  }

  /**
   * Tells whether the work was watched for long enough to give servers back: a
   * process that has just started sees little of it.
   */
  knowsWork(): boolean {
    return this.getAgeMs() > WATCHED_MS;
  }

  /**
   * Returns the servers needed, by the most that the last seconds asked for.
   * Before any work was seen the servers that are there stay.
   * @param service - The service.
   * @param work - Its work now.
   * @param present - Its servers now.
   */
  getNeed(service: Service, work: ServiceWork, present: number): Need {
    const nowMs = this.clock.monotonicMs();
    const slots = service.engine?.slots ?? DEFAULT_SLOTS;
    const busy = Math.max(
      work.prefillPerSecond / PREFILL_PER_SECOND,
      work.running / (slots * PLACES_SHARE),
    );
    const first = this.getFirst(service.name, present);
    this.hasSeenWork ||= busy > 0;
    const samples = this.samples.get(service.name) ?? [];
    const recent = samples.filter(sample => sample.atMs > nowMs - MEMORY_MS);
    recent.push({atMs: nowMs, busy});
    this.samples.set(service.name, recent);
    const most = getMost(recent, nowMs - MEMORY_MS);
    const kept = first * KEPT_SHARE;
    return {
      kept,
      // What a limit keeps from servers is not seen as work.
      needed: Math.max(kept, most / COMFORT_SHARE) + work.limited,
      least: getMost(recent, nowMs - LEAST_MEMORY_MS) / LEAST_SHARE,
    };
  }

  private getAgeMs(): number {
    return this.clock.monotonicMs() - this.startMs;
  }

  private getFirst(service: string, present: number): number {
    const first = this.first.get(service) ?? 0;
    if (this.hasSeenWork || this.getAgeMs() > LEARN_MS) {
      return first;
    }
    const most = Math.max(first, present);
    this.first.set(service, most);
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
