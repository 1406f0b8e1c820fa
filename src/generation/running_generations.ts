import {Generation} from './generation.js';

/** A generation on the server that runs it now. */
export interface RunningGeneration {
  readonly generation: Generation;
  readonly server: string;
  /** Aborted to make it leave that server. */
  readonly move: AbortController;
  /** Tells that it is being moved, until the promise settles. */
  hold(move: Promise<void>): void;
  /** Names the server that holds its exported cache. */
  prefer(server: string): void;
}

/** A generation's place, as its runner sees it. */
export interface GenerationPlace {
  /** Aborted when the generation must leave its server. */
  readonly moved: AbortSignal;
  /** Waits until a move under way is over; its end of stream is no failure. */
  waitForMove(): Promise<void>;
  /** Returns the server that holds its exported cache, if there is one. */
  getPreferred(): string | undefined;
}

/** Which server runs each generation now. */
export class RunningGenerations {
  private readonly running = new Map<string, RunningGeneration>();

  /** Notes that a server runs a generation; `moved` tells it to leave there. */
  add(generation: Generation, server: string): GenerationPlace {
    const move = new AbortController();
    let preferred: string | undefined;
    const prefer = (name: string) => {
      preferred = name;
    };
    let moving = Promise.resolve();
    const hold = (promise: Promise<void>) => {
      moving = promise;
    };
    const running = {generation, server, move, hold, prefer};
    this.running.set(generation.request.id, running);
    return {
      moved: move.signal,
      waitForMove: () => moving,
      getPreferred: () => preferred,
    };
  }

  /** Notes that a generation runs nowhere. */
  remove(id: string): void {
    this.running.delete(id);
  }

  /** Returns the generations on a server. */
  listOn(server: string): RunningGeneration[] {
    const found: RunningGeneration[] = [];
    for (const running of this.running.values()) {
      if (running.server === server) {
        found.push(running);
      }
    }
    return found;
  }

  /** Number of generations that run. */
  count(): number {
    return this.running.size;
  }
}
