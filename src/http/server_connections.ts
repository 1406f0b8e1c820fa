import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {CancelTimer, Clock} from '../time/index.js';
import {AnnouncedResponse} from './announced_response.js';
import {collectGarbage, Garbage} from './collect_garbage.js';
import {ConnectionRequest} from './connection_request.js';
import {
  ListenerPhase,
  ServerConnection,
  ServerConnectionOptions,
} from './server_connection.js';

/** Why a connection is closed at once. */
export const EvictionReason = {
  /** The memory of connections and heads is used up. */
  MEMORY: 'memory',
  /** There are as many connections as descriptors for them. */
  DESCRIPTORS: 'descriptors',
  /** Its caller does not read the answer. */
  STALLED: 'stalled',
} as const;
export type EvictionReason =
  (typeof EvictionReason)[keyof typeof EvictionReason];

/** Limits of the connections of a listener. */
export interface ConnectionLimits {
  /** Most connections. */
  readonly count: number;
  /** Most bytes of memory, without the bodies of requests. */
  readonly bytes: number;
}

/** Dependencies of `ServerConnections`. */
export interface ServerConnectionsOptions {
  readonly clock: Clock;
  readonly limits: ConnectionLimits;
  /** See `ServerConnectionOptions`. */
  readonly onIgnored: ServerConnectionOptions['onIgnored'];
  /** Called for each connection that is closed because of a limit. */
  readonly onEvicted: (reason: EvictionReason) => void;
  /** Returns how long an answer may wait for its caller to read, in milliseconds. */
  readonly getStallMs: () => number;
}

/** Part of a limit that is made free at a time, so that not every connection has to search. */
const FREED_PART = 1 / 16;
/**
 * Most requests behind others that are read in a turn of the event loop before all connections
 * pause until the next one. Each takes several KB, and connections that are closed are freed
 * between turns only.
 */
const MAX_WAITING_PER_TURN = 256;
/** Memory of evicted connections after which garbage is collected, in bytes. */
const EVICTED_GARBAGE_BYTES = 2_097_152;
/** Interval between checks of the progress of all connections, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/**
 * The open connections of an HTTP server. At their limits, those yield that have taken most memory
 * for longest without a request that was passed on.
 */
export class ServerConnections {
  private readonly connections = new Map<Socket, ServerConnection>();
  private phase: ListenerPhase = ListenerPhase.OPEN;
  /** Estimated memory of all connections, in bytes. */
  private bytes = 0;
  /** Memory of connections that were evicted since garbage was collected, in bytes. */
  private evictedBytes = 0;
  /** Requests behind others that were read in this turn of the event loop. */
  private waitingInTurn = 0;
  /** Connections that are not read until the next turn. */
  private paused: readonly ServerConnection[] = [];
  /** Whether no connection can yield until the next check. */
  private isExhausted = false;
  private cancelCheck: CancelTimer = () => undefined;

  constructor(private readonly options: ServerConnectionsOptions) {}

  /** Starts to check the progress of connections, until `stopChecks`. */
  start(): void {
    this.cancelCheck = this.options.clock.startTimer(CHECK_INTERVAL_MS, () => {
      this.check();
      this.start();
    });
  }

  /** Adds a connection that was accepted. It is closed if none can yield for it. */
  add(socket: Socket): void {
    const {clock, onIgnored} = this.options;
    const connection = new ServerConnection(socket, {
      clock,
      getPhase: () => this.phase,
      onIgnored,
      onBytes: bytes => (this.bytes += bytes),
    });
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
    this.relieve();
    if (this.isOverLimits(1)) {
      this.evict(connection, this.getReason());
    }
  }

  /** See `ServerConnection.accept`. */
  accept(
    message: IncomingMessage,
    response: AnnouncedResponse,
  ): ConnectionRequest | undefined {
    const connection = this.get(message.socket);
    if (connection === undefined) {
      return undefined;
    }
    const request = connection.accept(message, response);
    if (connection.hasWaiting()) {
      this.addWaiting();
    }
    this.relieve();
    return request;
  }

  /** Returns a connection; `undefined` if it was not added, or is closed. */
  get(socket: Socket): ServerConnection | undefined {
    return this.connections.get(socket);
  }

  /** Returns the number of open connections. */
  count(): number {
    return this.connections.size;
  }

  /** Returns the estimated memory of all connections without bodies, in bytes. */
  getBytes(): number {
    return this.bytes;
  }

  /** Returns the number of connections on which a request is being read or answered. */
  countBusy(): number {
    let count = 0;
    for (const connection of this.connections.values()) {
      count += connection.isBusy() ? 1 : 0;
    }
    return count;
  }

  /**
   * From now on, each connection ends after its next answer. Connections without a request stay
   * open.
   */
  startDraining(): void {
    if (this.phase === ListenerPhase.OPEN) {
      this.phase = ListenerPhase.DRAINING;
    }
  }

  /**
   * Ends the connections without a request. Requests whose turn comes from now on are not
   * handled.
   */
  stop(): void {
    this.phase = ListenerPhase.STOPPED;
    for (const connection of this.connections.values()) {
      connection.closeIfIdle();
    }
  }

  /** Ends the checks of progress. */
  stopChecks(): void {
    this.cancelCheck();
  }

  private check(): void {
    const stallMs = this.options.getStallMs();
    this.isExhausted = false;
    for (const connection of [...this.connections.values()]) {
      connection.checkProgress();
      if (connection.getStalledMs() > stallMs) {
        this.evict(connection, EvictionReason.STALLED);
      }
    }
    this.relieve();
  }

  private addWaiting(): void {
    if (this.waitingInTurn === 0) {
      setImmediate(() => this.startTurn());
    }
    this.waitingInTurn++;
    if (this.waitingInTurn === MAX_WAITING_PER_TURN) {
      this.paused = [...this.connections.values()];
      for (const connection of this.paused) {
        connection.pauseReading();
      }
    }
  }

  private startTurn(): void {
    this.waitingInTurn = 0;
    if (this.evictedBytes >= EVICTED_GARBAGE_BYTES) {
      this.evictedBytes = 0;
      collectGarbage(Garbage.YOUNG);
    }
    const {paused} = this;
    this.paused = [];
    for (const connection of paused) {
      connection.resumeReading();
    }
  }

  /** Evicts connections until the limits are kept, as far as there are any that can yield. */
  private relieve(): void {
    if (!this.isOverLimits(1) || this.isExhausted) {
      return;
    }
    const reason = this.getReason();
    for (const connection of this.rank(one => one.rankForEviction())) {
      if (!this.isOverLimits(1 - FREED_PART)) {
        return;
      }
      this.evict(connection, reason);
    }
    // What was passed on would be lost with the process.
    for (const connection of this.rank(one => one.countExcess())) {
      if (!this.isOverLimits(1 - FREED_PART)) {
        return;
      }
      this.evict(connection, reason);
    }
    this.isExhausted = this.isOverLimits(1);
  }

  /** Returns the connections with a rank above 0, the highest first. */
  private rank(
    getRank: (connection: ServerConnection) => number,
  ): ServerConnection[] {
    return [...this.connections.values()]
      .map(connection => ({connection, rank: getRank(connection)}))
      .filter(({rank}) => rank > 0)
      .sort((one, other) => other.rank - one.rank)
      .map(({connection}) => connection);
  }

  private evict(connection: ServerConnection, reason: EvictionReason): void {
    this.connections.delete(connection.socket);
    this.evictedBytes += connection.evict();
    this.options.onEvicted(reason);
  }

  private isOverLimits(part: number): boolean {
    const {count, bytes} = this.options.limits;
    return (
      this.connections.size > Math.ceil(count * part) ||
      this.bytes > bytes * part
    );
  }

  private getReason(): EvictionReason {
    return this.connections.size > this.options.limits.count
      ? EvictionReason.DESCRIPTORS
      : EvictionReason.MEMORY;
  }
}
