import {problems, ExecutionStatus} from '../errors/index.js';
import {Clock} from '../time/index.js';
import {Generation} from './generation.js';

/** A generation with the controller that stops it. */
interface StoredGeneration {
  readonly generation: Generation;
  readonly stop: AbortController;
  /** Time at which it was first seen to be over, in monotonic ms. */
  endedMs?: number;
}

/** Options of the store. */
export interface GenerationStoreOptions {
  readonly clock: Clock;
  /** Time for which a finished answer can be requested again, in milliseconds. */
  readonly retentionMs: number;
  /** Time for which a generation without readers continues, in milliseconds. */
  readonly unreadMs: number;
}

/** The generations that this host runs or has run recently. */
export class GenerationStore {
  private readonly storedById = new Map<string, StoredGeneration>();

  constructor(private readonly options: GenerationStoreOptions) {}

  /** Adds a generation; returns the controller that stops it. */
  add(generation: Generation): AbortController {
    const stop = new AbortController();
    this.storedById.set(generation.request.id, {generation, stop});
    return stop;
  }

  /** Returns a generation by its id. */
  get(id: string): Generation | undefined {
    return this.storedById.get(id)?.generation;
  }

  /** Returns the generations that have neither finished nor failed. */
  listRunning(): Generation[] {
    const running: Generation[] = [];
    for (const {generation} of this.storedById.values()) {
      if (!generation.isOver()) {
        running.push(generation);
      }
    }
    return running;
  }

  /** Stops a generation and removes it, as when another host has taken it over. */
  remove(id: string): void {
    this.storedById.get(id)?.stop.abort();
    this.storedById.delete(id);
  }

  /**
   * Fails a generation on this host that another host continues. Its readers are to
   * request the events after the last one that they have received.
   * @param id - Id of the generation.
   */
  handOver(id: string): void {
    const stored = this.storedById.get(id);
    stored?.stop.abort();
    stored?.generation.fail({
      ...problems.hostDraining(),
      ran: ExecutionStatus.UNKNOWN,
    });
  }

  /** Stops generations without readers and removes those that ended long ago. */
  trim(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [id, stored] of this.storedById) {
      if (!stored.generation.isOver()) {
        if (stored.generation.getUnreadMs(nowMs) > this.options.unreadMs) {
          this.remove(id);
        }
        continue;
      }
      stored.endedMs ??= nowMs;
      if (nowMs - stored.endedMs > this.options.retentionMs) {
        this.storedById.delete(id);
      }
    }
  }
}
