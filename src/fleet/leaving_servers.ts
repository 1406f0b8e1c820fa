import {listChangedSince} from '../changes/index.js';
import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {MAX_SERVERS_PER_MESSAGE} from './leaving_updates.js';

/** Dependencies of `LeavingServers`. */
export interface LeavingServersOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Returns whether an incarnation of a server is still known. */
  readonly isKnownServer: (server: string) => boolean;
}

/** Servers that leave, and the version up to which they are complete. */
export interface LeavingPage {
  readonly version: number;
  readonly servers: string[];
}

/** Called with a server that is now known to leave. */
export type LeavingListener = (server: string, source: string) => void;

interface LeavingServer {
  readonly version: number;
  readonly statedMs: number;
}

/** Source of what this host has read in an answer. */
const ANSWER_SOURCE = 'answer';
/**
 * Time for which a server that is no longer registered is kept, in milliseconds: its
 * registration may reappear with its old state after the table was unavailable.
 */
const RETENTION_MS = 600_000;
/** Maximum number of servers that are kept; the oldest are dropped beyond that. */
const MAX_SERVERS = 4096;

/**
 * Servers that have stated in an answer that they leave. Hosts tell each other.
 *
 * A server that leaves does not return: it starts again as another incarnation. So the
 * statement holds for the rest of the incarnation, whatever its registration says.
 */
export class LeavingServers {
  /** By server incarnation; the first to leave first. */
  private readonly servers = new Map<string, LeavingServer>();
  private readonly listeners: LeavingListener[] = [];
  private version = 0;

  constructor(private readonly options: LeavingServersOptions) {}

  /** Adds a function that is called for each server that becomes known to leave. */
  addListener(listener: LeavingListener): void {
    this.listeners.push(listener);
  }

  /** Returns whether an incarnation of a server has stated that it leaves. */
  has(server: string): boolean {
    return this.servers.has(server);
  }

  /** Records that an answer of a server states that it leaves. */
  addAnswer(server: string): void {
    this.add(server, ANSWER_SOURCE);
  }

  /** Merges the servers that a peer knows to leave. */
  mergeReported(servers: readonly string[], peer: string): void {
    for (const server of servers) {
      this.add(server, `peer:${peer}`);
    }
  }

  /** Returns the number of the last change. */
  getVersion(): number {
    return this.version;
  }

  /** Lists the servers that became known to leave after a version, the first ones first. */
  listSince(version: number): LeavingPage {
    const page = listChangedSince(this.servers, {
      since: version,
      latest: this.version,
      maxEntries: MAX_SERVERS_PER_MESSAGE,
    });
    return {
      version: page.version,
      servers: page.changed.map(([server]) => server),
    };
  }

  private add(server: string, source: string): void {
    if (this.servers.has(server)) {
      return;
    }
    this.servers.set(server, {
      version: ++this.version,
      statedMs: this.options.clock.monotonicMs(),
    });
    this.trim();
    this.options.log.info('server_leaving', {server, source});
    for (const listener of this.listeners) {
      listener(server, source);
    }
  }

  /** Removes servers that are gone for good, and the oldest beyond the maximum number. */
  private trim(): void {
    const {clock, isKnownServer} = this.options;
    const oldestMs = clock.monotonicMs() - RETENTION_MS;
    for (const [server, {statedMs}] of this.servers) {
      const isOver = statedMs < oldestMs && !isKnownServer(server);
      if (isOver || this.servers.size > MAX_SERVERS) {
        this.servers.delete(server);
      }
    }
  }
}
