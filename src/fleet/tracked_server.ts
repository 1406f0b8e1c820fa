import {Clock} from '../time/index.js';
import {FleetServer} from './fleet_server.js';
import {PartMemory, PromptPart} from './part_memory.js';
import {PendingPrefill} from './pending_prefill.js';

/** A request in flight at a server, closed once by `finish`. */
export interface FleetFlight {
  /** Tells that the answer began, after this many milliseconds. */
  addFirstByte(tookMs: number): void;
  /** Tells that more of the answer came. */
  addProgress(): void;
  /** Ends the flight and counts how it went. */
  finish(end: FlightEnd): void;
}

/** How a flight ended, as far as it tells of the server. */
export const FlightEnd = {
  SUCCEEDED: 'succeeded',
  FAILED: 'failed',
  /** The server could not be reached, or said nothing for too long. */
  SILENT: 'silent',
  /** It says nothing of the server: the caller left, or it had no room. */
  NEUTRAL: 'neutral',
} as const;
export type FlightEnd = (typeof FlightEnd)[keyof typeof FlightEnd];

/** Weight of the newest sample in the smoothed excess delay. */
const EXCESS_WEIGHT = 0.3;
/** Delay beyond the prediction that is ordinary, in milliseconds. */
const ORDINARY_MS = 60;
/**
 * Standstill of all streams after which a server gets no new requests, in
 * milliseconds: engines make an event every few tens of milliseconds.
 */
const SILENT_MS = 350;
/** Streams that must have begun for their standstill to tell. */
const MIN_BEGUN = 2;
/** Time in which half of an excess is forgotten, in milliseconds. */
const EXCESS_HALF_LIFE_MS = 2000;
/** Silence after which a server that is gone is forgotten, in milliseconds. */
const FORGET_MS = 60_000;

/** A server with what this host has seen of it. */
export class TrackedServer {
  readonly memory: PartMemory;
  inFlight = 0;
  readonly prefill = new PendingPrefill();
  /** Answers that have begun and not ended. */
  private begun = 0;
  /** When an answer last made progress, monotonic milliseconds. */
  private heardMs = 0;
  private excessMs = 0;
  private touchedMs: number;

  /** Since when it is in its state, monotonic milliseconds. */
  private stateMs: number;

  constructor(
    public server: FleetServer,
    cacheTokens: number,
    private readonly clock: Clock,
  ) {
    this.memory = new PartMemory(cacheTokens);
    this.touchedMs = clock.monotonicMs();
    this.stateMs = clock.monotonicMs();
  }

  /** Takes in what the server is now. */
  setServer(server: FleetServer): void {
    if (server.state !== this.server.state) {
      this.stateMs = this.clock.monotonicMs();
    }
    this.server = server;
  }

  /** Returns the time since its state changed, in milliseconds. */
  getStateAgeMs(): number {
    return this.clock.monotonicMs() - this.stateMs;
  }

  /** Returns the smoothed delay beyond predictions, in milliseconds. */
  getExcessMs(): number {
    const ageMs = this.clock.monotonicMs() - this.touchedMs;
    return this.excessMs * 0.5 ** (ageMs / EXCESS_HALF_LIFE_MS);
  }

  /** Tells whether all answers that have begun stand still. */
  isSilent(): boolean {
    const silentMs = this.clock.monotonicMs() - this.heardMs;
    return this.begun >= MIN_BEGUN && silentMs > SILENT_MS;
  }

  /** Tells whether nothing was heard or sent for so long that it may go. */
  isForgotten(): boolean {
    const ageMs = this.clock.monotonicMs() - this.touchedMs;
    return this.inFlight === 0 && ageMs > FORGET_MS;
  }

  /** See `Fleet.startFlight`. */
  startFlight(
    parts: readonly PromptPart[],
    predictedMs: number,
    urgency: number,
    onFinish: (end: FlightEnd) => void,
  ): FleetFlight {
    let pending = this.countUncached(parts);
    let open = true;
    let begun = false;
    this.inFlight++;
    this.prefill.add(urgency, pending);
    this.memory.add(parts);
    const endPrefill = () => {
      this.prefill.add(urgency, -pending);
      pending = 0;
    };
    return {
      addProgress: () => {
        this.heardMs = this.clock.monotonicMs();
      },
      addFirstByte: tookMs => {
        endPrefill();
        if (open && !begun) {
          begun = true;
          this.begun++;
          this.heardMs = this.clock.monotonicMs();
        }
        this.addExcess(Math.max(0, tookMs - predictedMs - ORDINARY_MS));
      },
      finish: end => {
        if (!open) {
          return;
        }
        open = false;
        endPrefill();
        this.inFlight--;
        this.begun -= begun ? 1 : 0;
        onFinish(end);
      },
    };
  }

  /** Counts the prompt tokens that are not believed to be cached. */
  countUncached(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      tokens += part.tokens;
    }
    return tokens - this.memory.countCachedTokens(parts);
  }

  private addExcess(sampleMs: number): void {
    const before = this.getExcessMs();
    this.excessMs = before + (sampleMs - before) * EXCESS_WEIGHT;
    this.touchedMs = this.clock.monotonicMs();
  }
}
