import {Generation} from './generation.js';

/** A generation and the server that is running it. */
export interface RunningGeneration {
  readonly generation: Generation;
  readonly server: string;
  /** Aborted to make the generation leave that server. */
  readonly move: AbortController;
  /** Marks the generation as being moved until the promise settles. */
  trackMove(move: Promise<void>): void;
  /** Sets the server that holds the exported cache. */
  setPreferredServer(server: string): void;
}

/** Handle by which the runner of a generation follows its moves. */
export interface RunHandle {
  /** Aborted when the generation must leave its server. */
  readonly moved: AbortSignal;
  /** Waits for a move in progress; a stream that ends because of it has not failed. */
  waitForMove(): Promise<void>;
  /** Returns the server that holds the exported cache, if any. */
  getPreferredServer(): string | undefined;
}

/** Tracks which server is running each generation. */
export class RunningGenerations {
  private readonly running = new Map<string, RunningGeneration>();

  /** Records that a server runs a generation; `moved` signals it to leave the server. */
  add(generation: Generation, server: string): RunHandle {
    const move = new AbortController();
    let preferred: string | undefined;
    const setPreferredServer = (name: string) => {
      preferred = name;
    };
    let moving = Promise.resolve();
    const trackMove = (promise: Promise<void>) => {
      moving = promise;
    };
    const running = {generation, server, move, trackMove, setPreferredServer};
    this.running.set(generation.request.id, running);
    return {
      moved: move.signal,
      waitForMove: () => moving,
      getPreferredServer: () => preferred,
    };
  }

  /** Records that a generation is no longer running on any server. */
  remove(id: string): void {
    this.running.delete(id);
  }

  /** Returns the generations running on a server. */
  listOn(server: string): RunningGeneration[] {
    const found: RunningGeneration[] = [];
    for (const running of this.running.values()) {
      if (running.server === server) {
        found.push(running);
      }
    }
    return found;
  }

  /** Returns the number of running generations. */
  count(): number {
    return this.running.size;
  }
}
