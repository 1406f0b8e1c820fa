import {Quarantine} from './quarantine.js';
import {namePart} from './suspicion_rule.js';

/** Parts of a prompt that are watched; further ones are judged by request and sender only. */
const MAX_WATCHED_PARTS = 256;

/**
 * Connects the runs of a request with the quarantine of the parts of its prompt. Requests that
 * differ otherwise may have a part in common that terminates the servers that run them.
 */
export class WatchedParts {
  private names: ReadonlySet<string> | undefined;
  /** Level of each part in the quarantine when the current run began; 0 if absent. */
  private levels: ReadonlyMap<string, number> = new Map();

  /**
   * @param quarantine - The quarantine.
   * @param service - Service that reads the prompt. What terminates its servers may be harmless
   *   at others.
   * @param parts - The parts in order. The last belongs to the request itself or to its
   *   session, and is not watched.
   */
  constructor(
    private readonly quarantine: Quarantine,
    private readonly service: string,
    private readonly parts: readonly {readonly id: string}[],
  ) {}

  /** Returns the name of the part that is blocked for the longest time; absent if none is. */
  findBlocked(): string | undefined {
    if (!this.quarantine.hasSuspects()) {
      return undefined;
    }
    let found: string | undefined;
    let longestMs = 0;
    for (const name of this.getNames()) {
      const ms = this.quarantine.getRemainingPartBlockMs(name, this.getNames());
      found = ms > longestMs ? name : found;
      longestMs = Math.max(longestMs, ms);
    }
    return found;
  }

  /** Records that a run begins. */
  beginRun(): void {
    this.levels = this.quarantine.hasSuspects()
      ? new Map(
          [...this.getNames()].map(name => [
            name,
            this.quarantine.getLevel(name),
          ]),
        )
      : new Map();
  }

  /**
   * Records that a server has terminated during the run.
   * @param termination - Name of the termination; see `nameTermination`.
   */
  addTermination(termination: string): void {
    const parts = new Map(
      [...this.getNames()].map(name => [name, this.levels.get(name) ?? 0]),
    );
    this.quarantine.addPartTermination(parts, termination);
  }

  /** Records that a server completed an answer, which shows that no part terminates it. */
  addAnswer(): void {
    for (const name of this.getNames()) {
      this.quarantine.addPartAnswer(name);
    }
  }

  private getNames(): ReadonlySet<string> {
    this.names ??= new Set(
      this.parts
        .slice(0, -1)
        .slice(0, MAX_WATCHED_PARTS)
        .map(({id}) => namePart(this.service, id)),
    );
    return this.names;
  }
}
