import {FirstOccurrences, Log} from '../log/index.js';
import {HostPosition} from '../limits/index.js';
import {Metrics} from '../metrics/index.js';
import {Clock} from '../time/index.js';
import {BrittleStatement} from './brittle_statement.js';
import {countOwnSlots, SlotServer} from './count_own_slots.js';
import {SlotQueue} from './slot_queue.js';

/** Dependencies of `BrittleServices`. */
export interface BrittleServicesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Lists the servers of a service that take requests. */
  readonly listServers: (service: string) => readonly SlotServer[];
  /** Returns the number of requests of this host in flight at a server. */
  readonly countInFlight: (server: string) => number;
  /** Returns the position of this host among all hosts. */
  readonly getHostPosition: () => HostPosition;
}

/** An answer of a server, as far as it concerns brittle servers. */
export interface BrittleAnswer {
  readonly service: string;
  readonly server: string;
  /** What it states; absent if it does not state that the server is brittle. */
  readonly stated?: BrittleStatement;
  /** Whether the absence of the statement shows that the server is not brittle. */
  readonly isSuccess: boolean;
  /** When its request was sent, monotonic milliseconds. */
  readonly sentMs: number;
}

/** A request that needs a slot. */
export interface SlotRequest {
  readonly service: string;
  /** Urgency rank; 0 is the most urgent. */
  readonly rank: number;
  /** Longest predicted wait with which it is answered in time, in milliseconds. */
  readonly maxWaitMs: number;
  /** Longest wait if it lasts longer than predicted, in ms; `maxWaitMs` if absent. */
  readonly limitMs?: number;
}

/** What is known of a service with brittle servers. */
interface BrittleService {
  readonly queue: SlotQueue;
  /** When each brittle server last stated that it is, monotonic milliseconds. */
  readonly statedMs: Map<string, number>;
  ownSlots: ReadonlyMap<string, number>;
  slotCount: number;
  /** When `ownSlots` was computed, monotonic milliseconds. */
  countedMs: number;
  /** Smoothed time for which a request occupies a slot, in milliseconds. */
  holdMs: number;
}

/**
 * Time after which a server that has not answered no longer counts as brittle, in
 * milliseconds. One that has fallen over is back sooner, and states it again.
 */
const RETENTION_MS = 15_000;
/** Age up to which this host's slots are reused, in milliseconds. */
const SLOTS_MS = 100;
/** Time for which a request occupies a slot, until one is measured, in milliseconds. */
const INITIAL_HOLD_MS = 100;
/** Weight of the newest measured time. */
const HOLD_WEIGHT = 0.1;
/** Shortest time after which a caller is asked to retry, in milliseconds. */
const MIN_RETRY_MS = 100;

/**
 * Services whose servers state that they are brittle: such a server soon lets few requests
 * wait, and falls over when it has to reject several in a second.
 *
 * While a service is brittle, all hosts together send its servers no more requests than
 * they run concurrently. Each host has a part of these slots (`countOwnSlots`), and its
 * further requests wait at the host, where waiting costs the servers nothing.
 */
export class BrittleServices {
  private readonly services = new Map<string, BrittleService>();
  private readonly faulty = new FirstOccurrences();

  constructor(private readonly options: BrittleServicesOptions) {
    const {metrics} = options;
    metrics.addLabelledGauge(
      'brittle_servers',
      'Servers of a service that state that they are brittle',
      () =>
        [...this.services].map(([service, {statedMs}]) => [
          {service},
          statedMs.size,
        ]),
    );
    metrics.addLabelledGauge(
      'brittle_waiting',
      'Requests that wait at this host for a slot of a brittle server',
      () =>
        [...this.services].map(([service, {queue}]) => [
          {service},
          queue.countAhead(Number.POSITIVE_INFINITY),
        ]),
    );
    metrics.addCounter(
      'brittle_refused',
      'Requests refused since no slot of a brittle server becomes free in time',
    );
  }

  /** Records what an answer states about its server. */
  addAnswer({service, server, stated, isSuccess, sentMs}: BrittleAnswer): void {
    const known = this.services.get(service);
    if (stated === undefined) {
      const statedMs = known?.statedMs.get(server) ?? Infinity;
      if (isSuccess && sentMs >= statedMs) {
        known?.statedMs.delete(server);
        this.removeIfOver(service);
      }
      return;
    }
    if (stated.isErr && this.faulty.add(server)) {
      this.options.log.warn('brittle_unusable', {server, detail: stated.error});
    }
    const state = known ?? this.addService(service, server, stated);
    state.statedMs.set(server, this.options.clock.monotonicMs());
  }

  /** Returns whether servers of a service state that they are brittle. */
  isBrittle(service: string): boolean {
    const state = this.services.get(service);
    if (state === undefined) {
      return false;
    }
    const oldestMs = this.options.clock.monotonicMs() - RETENTION_MS;
    for (const [server, statedMs] of state.statedMs) {
      if (statedMs < oldestMs) {
        state.statedMs.delete(server);
      }
    }
    return !this.removeIfOver(service);
  }

  /**
   * Returns whether a request may be sent to a server now: this host has a free slot there.
   * @param service - A brittle service.
   */
  hasFreeSlot(service: string, server: string): boolean {
    const state = this.services.get(service);
    if (state === undefined) {
      return true;
    }
    const slots = this.getOwnSlots(service, state).get(server) ?? 0;
    return this.options.countInFlight(server) < slots;
  }

  /** Returns whether other requests of at least the same rank wait for a slot. */
  mustQueue(service: string, rank: number): boolean {
    return (this.services.get(service)?.queue.countAhead(rank) ?? 0) > 0;
  }

  /**
   * Predicts how long a request has to wait for a slot, in milliseconds; infinite if this
   * host has none.
   */
  predictWaitMs({service, rank}: SlotRequest): number {
    const state = this.services.get(service);
    if (state === undefined) {
      return 0;
    }
    this.getOwnSlots(service, state);
    const ahead = state.queue.countAhead(rank) + 1;
    return (ahead * state.holdMs) / state.slotCount;
  }

  /** Returns the usual time for which a request occupies a slot, in milliseconds. */
  getHoldMs(service: string): number {
    return this.services.get(service)?.holdMs ?? 0;
  }

  /**
   * Waits for a slot, if one is predicted to become free in time.
   * @returns Whether the request is the next for a slot.
   */
  async waitForSlot(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {service, rank, maxWaitMs, limitMs = maxWaitMs} = request;
    const state = this.services.get(service);
    if (state === undefined) {
      return true;
    }
    if (this.predictWaitMs(request) > maxWaitMs) {
      return false;
    }
    return state.queue.wait(rank, limitMs, signal);
  }

  /** Counts a refused request; returns when its caller should retry, in milliseconds. */
  addRefused(request: SlotRequest): number {
    this.options.metrics.increment('brittle_refused', {
      service: request.service,
    });
    const waitMs = this.predictWaitMs(request);
    const holdMs = this.services.get(request.service)?.holdMs ?? 0;
    return Math.max(MIN_RETRY_MS, Number.isFinite(waitMs) ? waitMs : holdMs);
  }

  /**
   * Records that a request no longer occupies a slot, and wakes the next one.
   * @param heldMs - Time for which it did, in milliseconds.
   */
  release(service: string, heldMs: number): void {
    const state = this.services.get(service);
    if (state !== undefined) {
      state.holdMs += (heldMs - state.holdMs) * HOLD_WEIGHT;
      state.queue.wakeNext();
    }
  }

  /** Wakes the next request, since one that was woken does not use its slot. */
  passOn(service: string): void {
    this.services.get(service)?.queue.wakeNext();
  }

  private getOwnSlots(
    service: string,
    state: BrittleService,
  ): ReadonlyMap<string, number> {
    const {clock, listServers, getHostPosition} = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs - state.countedMs > SLOTS_MS) {
      state.ownSlots = countOwnSlots(listServers(service), getHostPosition());
      state.slotCount = [...state.ownSlots.values()].reduce((a, b) => a + b, 0);
      state.countedMs = nowMs;
    }
    return state.ownSlots;
  }

  private addService(
    service: string,
    server: string,
    stated: BrittleStatement,
  ): BrittleService {
    const {clock, log} = this.options;
    const state: BrittleService = {
      queue: new SlotQueue(clock),
      statedMs: new Map(),
      ownSlots: new Map(),
      slotCount: 0,
      countedMs: Number.NEGATIVE_INFINITY,
      holdMs: INITIAL_HOLD_MS,
    };
    this.services.set(service, state);
    this.getOwnSlots(service, state);
    log.warn('service_brittle', {
      service,
      server,
      rejections_per_second: stated.unwrapOr(0),
      own_slots: state.slotCount,
    });
    return state;
  }

  /** Forgets a service none of whose servers is brittle; returns whether it is not. */
  private removeIfOver(service: string): boolean {
    const state = this.services.get(service);
    if (state !== undefined && state.statedMs.size > 0) {
      return false;
    }
    if (state !== undefined) {
      this.services.delete(service);
      this.options.log.info('service_brittle_over', {service});
      while (state.queue.countAhead(Number.POSITIVE_INFINITY) > 0) {
        state.queue.wakeNext();
      }
    }
    return true;
  }
}
