import {Clock} from '../time/index.js';
import {FleetServer, FleetState} from './fleet_server.js';
import {PartCache, PromptPart} from './part_cache.js';
import {PendingPrefill} from './pending_prefill.js';
import {Lateness, LateWatch, RequestFeatures} from '../server_model/index.js';

/** An in-flight request at a server. Only the first call of `finish` counts. */
export interface TrackedRequest {
  /**
   * Records the time to the first byte of the answer.
   * @param tookMs - The time, in milliseconds.
   * @param wasServed - Whether the server has processed the request; an error response
   *   says nothing about the time that this takes. By default, it has.
   */
  addFirstByte(tookMs: number, wasServed?: boolean): void;
  /** Records that more of the answer was received. */
  addProgress(): void;
  /** Records whether the server has sent nothing for too long. */
  setSilent(isSilent: boolean): void;
  /** Records that the first byte of this request is to tell whether the server responds. */
  markProbe(): void;
  /** Ends the request and records its outcome. */
  finish(outcome: RequestOutcome): void;
}

/** A request whose time to the first byte is learned. */
export interface LearnedRequest {
  readonly features: RequestFeatures;
  /** Receives the time to the first byte, in milliseconds. */
  readonly onFirstByte: (tookMs: number) => void;
}

/** How a request ended, as far as it indicates the health of its server. */
export const RequestOutcome = {
  SUCCEEDED: 'succeeded',
  FAILED: 'failed',
  /** The server could not be reached, or did not respond for too long. */
  UNRESPONSIVE: 'silent',
  /**
   * No indication: for example, the caller left, or the server had no free
   * capacity.
   */
  NEUTRAL: 'neutral',
} as const;
export type RequestOutcome =
  (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** Weight of the newest sample in the smoothed excess delay. */
const EXCESS_WEIGHT = 0.3;
/** Delay beyond the prediction that does not count as excess. */
const TOLERATED_DELAY_MS = 60;
/**
 * Time without progress of any stream after which a server gets no new
 * requests. Engines emit an event every few tens of milliseconds.
 */
const STALL_TIMEOUT_MS = 350;
/** Minimum number of answers that have started for a stall to be detected. */
const MIN_STARTED_ANSWERS = 2;
/** Time in which the excess delay decays to half. */
const EXCESS_HALF_LIFE_MS = 2000;
/** Time without an answer after which an unregistered server is removed. */
const RETENTION_MS = 60_000;

/** A server with what this host has observed of it. */
export class TrackedServer {
  readonly cachedParts: PartCache;
  inFlight = 0;
  readonly prefill = new PendingPrefill();
  /** Number of answers that have started and not ended. */
  private startedAnswers = 0;
  /** Number of requests for which the server has sent nothing for too long. */
  private silentRequests = 0;
  /** Requests without a first byte, with the time from which each is late, monotonic ms. */
  private readonly waiting = new Map<object, number>();
  /** When an answer last made progress, in monotonic milliseconds. */
  private lastProgressMs = 0;
  private excessMs = 0;
  private readonly lateWatch: LateWatch;
  private excessUpdatedMs: number;

  /** When its state last changed, in monotonic milliseconds. */
  private stateSinceMs: number;
  /** Since when it has not been ready, in monotonic milliseconds. */
  private unavailableSinceMs: number;

  constructor(
    public server: FleetServer,
    cacheTokens: number,
    private readonly clock: Clock,
  ) {
    this.cachedParts = new PartCache(cacheTokens);
    this.lateWatch = new LateWatch(clock);
    this.excessUpdatedMs = clock.monotonicMs();
    this.stateSinceMs = clock.monotonicMs();
    this.unavailableSinceMs = clock.monotonicMs();
  }

  /** Updates the registration of the server. */
  setServer(server: FleetServer): void {
    const nowMs = this.clock.monotonicMs();
    if (server.state !== this.server.state) {
      this.stateSinceMs = nowMs;
    }
    if (this.server.state === FleetState.READY) {
      this.unavailableSinceMs = nowMs;
    }
    this.server = server;
  }

  /** Returns the time since its state changed, in milliseconds. */
  getStateAgeMs(): number {
    return this.clock.monotonicMs() - this.stateSinceMs;
  }

  /**
   * Returns the time for which it has not been ready, in milliseconds, whether draining
   * or unregistered.
   */
  getUnavailableMs(): number {
    return this.clock.monotonicMs() - this.unavailableSinceMs;
  }

  /** Returns the smoothed delay beyond predictions, in milliseconds. */
  getExcessMs(): number {
    const ageMs = this.clock.monotonicMs() - this.excessUpdatedMs;
    return this.excessMs * 0.5 ** (ageMs / EXCESS_HALF_LIFE_MS);
  }

  /** Returns by how much its answers are late now. */
  getLateness(): Lateness {
    return this.lateWatch.getLateness();
  }

  /**
   * Returns whether all started answers have stopped making progress, or one request has waited
   * for too long while no answer made progress.
   */
  isStalled(): boolean {
    return (
      (this.startedAnswers >= MIN_STARTED_ANSWERS || this.silentRequests > 0) &&
      !this.hasProgressed()
    );
  }

  /**
   * Returns whether the server is likely to respond: an answer makes progress, or there is none
   * that should, and no request has waited for longer than predicted.
   */
  isResponsive(): boolean {
    if (this.inFlight === 0 || this.hasProgressed()) {
      return true;
    }
    const nowMs = this.clock.monotonicMs();
    return (
      this.startedAnswers === 0 &&
      [...this.waiting.values()].every(lateMs => lateMs > nowMs)
    );
  }

  private hasProgressed(): boolean {
    const idleMs = this.clock.monotonicMs() - this.lastProgressMs;
    return idleMs <= STALL_TIMEOUT_MS;
  }

  /**
   * Returns whether no request is in flight and none has been answered for
   * long.
   */
  isExpired(): boolean {
    const ageMs = this.clock.monotonicMs() - this.excessUpdatedMs;
    return this.inFlight === 0 && ageMs > RETENTION_MS;
  }

  /** Records that a request is sent to the server. */
  trackRequest(
    parts: readonly PromptPart[],
    predictedMs: number,
    urgency: number,
    onFinish: (outcome: RequestOutcome) => void,
    learned?: LearnedRequest,
  ): TrackedRequest {
    let pending = this.countUncached(parts);
    let open = true;
    let hasStarted = false;
    let isSilent = false;
    const sentMs = this.clock.monotonicMs();
    const endWait = this.watchFirstByte(learned);
    const waiter = {};
    this.waiting.set(waiter, sentMs + predictedMs + STALL_TIMEOUT_MS);
    this.inFlight++;
    this.prefill.add(urgency, pending);
    this.cachedParts.add(parts);
    const endPrefill = () => {
      this.prefill.add(urgency, -pending);
      pending = 0;
    };
    const setSilent = (value: boolean) => {
      this.silentRequests += Number(value) - Number(isSilent);
      isSilent = value;
    };
    return {
      addProgress: () => {
        this.lastProgressMs = this.clock.monotonicMs();
      },
      setSilent: value => {
        if (open) {
          setSilent(value);
        }
      },
      markProbe: () => {
        if (this.waiting.has(waiter)) {
          this.waiting.set(waiter, sentMs);
        }
      },
      addFirstByte: (tookMs, wasServed = true) => {
        this.waiting.delete(waiter);
        endPrefill();
        endWait(wasServed ? tookMs : undefined);
        if (open && !hasStarted) {
          hasStarted = true;
          this.startedAnswers++;
          this.lastProgressMs = this.clock.monotonicMs();
        }
        this.addExcess(Math.max(0, tookMs - predictedMs - TOLERATED_DELAY_MS));
      },
      finish: outcome => {
        if (!open) {
          return;
        }
        open = false;
        setSilent(false);
        this.waiting.delete(waiter);
        endPrefill();
        const waitedMs = this.clock.monotonicMs() - sentMs;
        // A request that is given up takes at least the time that it has waited.
        const isLate = waitedMs > predictedMs;
        const isUnresponsive = outcome === RequestOutcome.UNRESPONSIVE;
        endWait(isUnresponsive && isLate ? waitedMs : undefined);
        this.inFlight--;
        this.startedAnswers -= hasStarted ? 1 : 0;
        onFinish(outcome);
      },
    };
  }

  /**
   * Waits for the first byte of a request whose time is learned. Returns a function of
   * which the first call ends the wait; without an argument, nothing is learned.
   */
  private watchFirstByte(
    learned: LearnedRequest | undefined,
  ): (tookMs: number | undefined) => void {
    if (learned === undefined) {
      return () => undefined;
    }
    const {features, onFirstByte} = learned;
    const endLateness = this.lateWatch.add(features.expectedMs);
    let isWaiting = true;
    return tookMs => {
      if (isWaiting) {
        isWaiting = false;
        endLateness(tookMs);
        if (tookMs !== undefined) {
          onFirstByte(tookMs);
        }
      }
    };
  }

  /** Counts the prompt tokens that are not assumed to be cached. */
  countUncached(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      tokens += part.tokens;
    }
    return tokens - this.cachedParts.countCachedTokens(parts);
  }

  private addExcess(sampleMs: number): void {
    const before = this.getExcessMs();
    this.excessMs = before + (sampleMs - before) * EXCESS_WEIGHT;
    this.excessUpdatedMs = this.clock.monotonicMs();
  }
}
