import {problems, Ran} from '../errors/index.js';
import {Clock} from '../time/index.js';
import {Generation} from './generation.js';

/** A generation that is kept, and how to stop it. */
interface Kept {
  readonly generation: Generation;
  readonly stop: AbortController;
  overMs?: number;
}

/** Limits of the store. */
export interface GenerationStoreOptions {
  readonly clock: Clock;
  /** How long a finished answer can be asked for again, in milliseconds. */
  readonly keepMs: number;
  /** How long a generation goes on with nobody reading, in milliseconds. */
  readonly unreadMs: number;
}

/** The generations this host runs or has run lately. */
export class GenerationStore {
  private readonly kept = new Map<string, Kept>();

  constructor(private readonly options: GenerationStoreOptions) {}

  /** Adds a generation; returns the controller that stops it. */
  add(generation: Generation): AbortController {
    const stop = new AbortController();
    this.kept.set(generation.request.id, {generation, stop});
    return stop;
  }

  /** Returns a generation by its id. */
  get(id: string): Generation | undefined {
    return this.kept.get(id)?.generation;
  }

  /** Returns the generations that are not over. */
  listRunning(): Generation[] {
    const running: Generation[] = [];
    for (const {generation} of this.kept.values()) {
      if (!generation.isOver()) {
        running.push(generation);
      }
    }
    return running;
  }

  /** Stops a generation that another host has taken over, and forgets it. */
  remove(id: string): void {
    this.kept.get(id)?.stop.abort();
    this.kept.delete(id);
  }

  /**
   * Ends a generation here that another host goes on with; its readers are
   * told to ask again for the events after the last one they have seen.
   * @param id - Id of the generation.
   */
  handOver(id: string): void {
    const kept = this.kept.get(id);
    kept?.stop.abort();
    kept?.generation.fail({...problems.hostDraining(), ran: Ran.UNKNOWN});
  }

  /** Stops what nobody reads and forgets what is long over. */
  trim(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [id, kept] of this.kept) {
      if (!kept.generation.isOver()) {
        if (kept.generation.getUnreadMs(nowMs) > this.options.unreadMs) {
          this.remove(id);
        }
        continue;
      }
      kept.overMs ??= nowMs;
      if (nowMs - kept.overMs > this.options.keepMs) {
        this.kept.delete(id);
      }
    }
  }
}
