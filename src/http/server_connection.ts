import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {Clock} from '../time/index.js';
import {AnnouncedResponse} from './announced_response.js';
import {ConnectionRequest, Turn} from './connection_request.js';

/** Phases of a listener, in order. */
export const ListenerPhase = {
  OPEN: 'open',
  /** Each connection ends after its next answer. */
  DRAINING: 'draining',
  /** Connections without a request are ended, and no further request is handled. */
  STOPPED: 'stopped',
} as const;
export type ListenerPhase = (typeof ListenerPhase)[keyof typeof ListenerPhase];

/** Why a request is not handled. */
export const IgnoreReason = {
  /** Its connection ends before the request could be answered. */
  CLOSING: 'closing',
  /** Too many requests wait on its connection. */
  PIPELINED: 'pipelined',
} as const;
export type IgnoreReason = (typeof IgnoreReason)[keyof typeof IgnoreReason];

/** Dependencies of a `ServerConnection`. */
export interface ServerConnectionOptions {
  readonly clock: Clock;
  readonly getPhase: () => ListenerPhase;
  /** Called for each request that is not handled. */
  readonly onIgnored: (message: IncomingMessage, reason: IgnoreReason) => void;
  /** Called when the estimate of its memory changes, with the difference in bytes. */
  readonly onBytes: (bytes: number) => void;
}

/** Progress of a connection when it was last checked. */
interface SeenProgress {
  /** Requests that have begun, and the bytes of the body that arrives. */
  readonly requests: number;
  readonly bodyBytes: number;
  /** Bytes that had been read from the connection when these last changed. */
  readonly readBytes: number;
  /** Bytes that have been read since: of a head or of trailers, which the parser keeps. */
  readonly pendingBytes: number;
  readonly writtenBytes: number;
  /** When its requests or their body last changed, in monotonic milliseconds. */
  readonly sinceMs: number;
  readonly checkedMs: number;
  /** For how long nothing could be written of what waits to be, in milliseconds. */
  readonly stalledMs: number;
}

/** Most bytes of a head or of trailers that the parser keeps. */
const MAX_PENDING_BYTES = 65_536;
/**
 * Most time between two checks that counts as time without progress, in milliseconds: while this
 * process is suspended, it writes nothing.
 */
const MAX_CHECK_MS = 1000;
/** Memory of a connection without a request, in bytes. */
const CONNECTION_BYTES = 8192;
/** Memory of a request without its body, in bytes. */
const REQUEST_BYTES = 8192;
/**
 * Most requests behind one that was passed on, for which a connection is kept when memory is used
 * up. Callers send a request after the answer to the one before.
 */
const MAX_BEHIND = 8;

/** Most requests that wait on one connection. Their bodies are read while they wait. */
const MAX_OPEN_REQUESTS = 64;
/** Most requests that are read and ignored before the connection is reset. */
const MAX_IGNORED_REQUESTS = 64;
/**
 * Time for which a connection is read after its last answer, in milliseconds. Closed with unread
 * bytes, it is reset, and the reset can destroy an answer that the caller has not read.
 */
const LINGER_MS = 1000;
/**
 * Time for the first request of a connection after the listener has stopped, in milliseconds. A
 * caller sends it as soon as its connection is open, and is told that it was not run.
 */
const FIRST_REQUEST_MS = 100;

/**
 * A connection of an HTTP server. A request is handled only while its answer can be sent: one at
 * a time in the order of arrival, as RFC 9112 (9.3.2) asks for requests that are not safe, and
 * none after the answer with which the connection ends (9.6).
 */
export class ServerConnection {
  /** Requests that are not answered, in the order of arrival. */
  private readonly open: ConnectionRequest[] = [];
  /** Whether no further request is handled. */
  private isClosing = false;
  private isSendingEnded = false;
  private ignoredCount = 0;
  private acceptedCount = 0;
  private readonly openedMs: number;
  /** Estimate of its memory without bodies, in bytes. */
  private bytes = 0;
  /** What the last check of its progress has found. */
  private seen: SeenProgress;
  /** Whether a request has arrived, or has been waited for. */
  private hasBeenUsed = false;
  /** How many callers of `pauseReading` have not called `resumeReading` yet. */
  private pauses = 0;

  constructor(
    readonly socket: Socket,
    private readonly options: ServerConnectionOptions,
  ) {
    this.openedMs = options.clock.monotonicMs();
    this.seen = {
      requests: 0,
      bodyBytes: 0,
      readBytes: 0,
      pendingBytes: 0,
      writtenBytes: 0,
      sinceMs: this.openedMs,
      checkedMs: this.openedMs,
      stalledMs: 0,
    };
    // node:http calls this after the last answer, and would not read what still arrives.
    socket.destroySoon = () => this.endSending();
    // node:http calls this for each request whose body is read.
    const resume = socket.resume.bind(socket);
    socket.resume = () => (this.pauses > 0 ? socket : resume());
    // A caller that closes only its sending side also counts as disconnected.
    socket.once('end', () => this.abort());
    socket.once('close', () => {
      this.abort();
      this.setBytes(0);
    });
    this.updateBytes();
  }

  /** Returns whether a request is being read or answered. */
  isBusy(): boolean {
    return this.open.length > 0;
  }

  /**
   * Accepts a request that has begun to arrive; returns `undefined` if it is ignored, since its
   * answer could not be sent.
   */
  accept(
    message: IncomingMessage,
    response: AnnouncedResponse,
  ): ConnectionRequest | undefined {
    if (this.isClosing || !this.socket.writable) {
      this.ignore(message, IgnoreReason.CLOSING);
      return undefined;
    }
    if (this.open.length >= MAX_OPEN_REQUESTS) {
      this.isClosing = true;
      this.ignore(message, IgnoreReason.PIPELINED);
      return undefined;
    }
    const startedMs = this.options.clock.monotonicMs();
    const request = new ConnectionRequest(message, startedMs, () =>
      this.closeAfter(request),
    );
    this.open.push(request);
    this.acceptedCount++;
    this.updateBytes();
    this.hasBeenUsed = true;
    // The caller has announced that this is its last request.
    this.isClosing = !response.shouldKeepAlive;
    response.beforeHead = () => this.announceClose(request, response);
    response.once('close', () => this.finish(request));
    this.startNext();
    return request;
  }

  /**
   * Ends the connection after something that is no request has arrived on it, once the requests
   * before it are answered. Returns whether it does; not if nothing was begun or sent.
   */
  closeAfterAnswers(): boolean {
    if (!this.isBusy()) {
      return this.isSendingEnded;
    }
    this.isClosing = true;
    const newest = this.open.at(-1);
    if (newest?.message.complete === false) {
      // What cannot be read is the rest of this request.
      this.drop(newest);
    }
    if (!this.isBusy()) {
      this.socket.destroy();
    }
    return true;
  }

  /** Ends the connection if no request is being read or answered. */
  closeIfIdle(): void {
    if (this.isBusy()) {
      return;
    }
    if (this.hasBeenUsed) {
      this.endSending();
      return;
    }
    this.hasBeenUsed = true;
    setTimeout(() => this.closeIfIdle(), FIRST_REQUEST_MS).unref();
  }

  /**
   * Stops reading from the connection, until `resumeReading` is called as often. What has been
   * read is still parsed.
   */
  pauseReading(): void {
    this.pauses++;
    this.socket.pause();
  }

  /** See `pauseReading`. */
  resumeReading(): void {
    this.pauses--;
    if (this.pauses === 0 && !this.socket.destroyed) {
      this.socket.resume();
    }
  }

  /** Returns whether requests wait behind the one that is handled. */
  hasWaiting(): boolean {
    return this.countHeld() > 1;
  }

  /** Checks what has been read and written since the last check. */
  checkProgress(): void {
    const nowMs = this.options.clock.monotonicMs();
    const {socket, seen} = this;
    const {bytesRead, bytesWritten, writableLength} = socket;
    // Counts bytes that wait as written.
    const writtenBytes = bytesWritten - writableLength;
    const requests = this.acceptedCount;
    const bodyBytes = this.open.at(-1)?.countBodyBytes() ?? 0;
    const hasChanged =
      requests !== seen.requests || bodyBytes !== seen.bodyBytes;
    const readBytes = hasChanged ? bytesRead : seen.readBytes;
    const hasWritten =
      writableLength === 0 || writtenBytes !== seen.writtenBytes;
    this.seen = {
      requests,
      bodyBytes,
      readBytes,
      // The parser drops what is ignored, and keeps no longer head.
      pendingBytes:
        this.ignoredCount > 0
          ? 0
          : Math.min(bytesRead - readBytes, MAX_PENDING_BYTES),
      writtenBytes,
      sinceMs: hasChanged ? nowMs : seen.sinceMs,
      checkedMs: nowMs,
      stalledMs: hasWritten
        ? 0
        : seen.stalledMs + Math.min(nowMs - seen.checkedMs, MAX_CHECK_MS),
    };
    this.updateBytes();
  }

  /** Returns for how long what waits to be written has waited, in milliseconds. */
  getStalledMs(): number {
    return this.seen.stalledMs;
  }

  /**
   * Ranks the connection among those that can yield: by its memory and for how long it takes it.
   * Returns 0 if it is not to yield: a request has been passed on, or it is kept open between
   * requests, and the next one could cross its end.
   */
  rankForEviction(): number {
    const sinceMs = this.findYieldMs();
    return sinceMs === undefined
      ? 0
      : this.bytes * (this.options.clock.monotonicMs() - sinceMs + 1);
  }

  /** Returns since when the connection can yield; `undefined` if it is not to. */
  private findYieldMs(): number | undefined {
    const [first] = this.open;
    if (first !== undefined) {
      return first.isPassedOn ? undefined : first.startedMs;
    }
    if (!this.hasBeenUsed || this.isSendingEnded) {
      return this.openedMs;
    }
    return this.seen.pendingBytes > 0 ? this.seen.sinceMs : undefined;
  }

  /** Returns how many requests more than a caller needs wait behind one that was passed on. */
  countExcess(): number {
    return Math.max(0, this.countHeld() - 1 - MAX_BEHIND);
  }

  /** Closes the connection at once, with all its requests; returns its memory in bytes. */
  evict(): number {
    const {bytes} = this;
    this.setBytes(0);
    this.socket.destroy();
    return bytes;
  }

  private updateBytes(): void {
    const {seen, socket} = this;
    if (!socket.destroyed) {
      this.setBytes(
        CONNECTION_BYTES + this.countHeld() * REQUEST_BYTES + seen.pendingBytes,
      );
    }
  }

  /** Counts the requests whose objects node:http keeps: also ignored ones, until the close. */
  private countHeld(): number {
    return this.open.length + this.ignoredCount;
  }

  private setBytes(bytes: number): void {
    this.options.onBytes(bytes - this.bytes);
    this.bytes = bytes;
  }

  private closeAfter(request: ConnectionRequest): void {
    const index = this.open.indexOf(request);
    if (index < 0) {
      return;
    }
    this.isClosing = true;
    const behind = this.open.slice(index + 1);
    for (const ignored of behind) {
      this.drop(ignored);
      this.ignore(ignored.message, IgnoreReason.CLOSING);
    }
  }

  private drop(request: ConnectionRequest): void {
    this.remove(request);
    request.abort();
  }

  /**
   * Announces the end of the connection in the head of an answer, if no request is behind it. One
   * that has been read is answered as well: its caller could not know of the end.
   */
  private announceClose(
    request: ConnectionRequest,
    response: AnnouncedResponse,
  ): void {
    if (this.open.at(-1) !== request) {
      return;
    }
    this.isClosing ||= this.options.getPhase() !== ListenerPhase.OPEN;
    response.shouldKeepAlive &&= !this.isClosing;
  }

  private finish(request: ConnectionRequest): void {
    if (!this.remove(request)) {
      return;
    }
    if (this.isBusy()) {
      this.startNext();
    } else if (this.isClosing || this.isStopped()) {
      this.endSending();
    }
  }

  private startNext(): void {
    this.open[0]?.startTurn(this.isStopped() ? Turn.STOPPED : Turn.NOW);
  }

  private isStopped(): boolean {
    return this.options.getPhase() === ListenerPhase.STOPPED;
  }

  private remove(request: ConnectionRequest): boolean {
    const index = this.open.indexOf(request);
    if (index >= 0) {
      this.open.splice(index, 1);
      this.updateBytes();
    }
    return index >= 0;
  }

  /** Reads a request and drops it. */
  private ignore(message: IncomingMessage, reason: IgnoreReason): void {
    this.options.onIgnored(message, reason);
    message.resume();
    this.ignoredCount++;
    this.updateBytes();
    if (this.ignoredCount > MAX_IGNORED_REQUESTS) {
      this.socket.destroy();
    }
  }

  /** Ends the sending side. What still arrives is read and dropped until the caller closes. */
  private endSending(): void {
    if (this.isSendingEnded) {
      return;
    }
    this.isClosing = true;
    this.isSendingEnded = true;
    const {socket} = this;
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
    socket.end();
  }

  /** Ends all requests: the caller has left. */
  private abort(): void {
    for (const request of this.open.splice(0)) {
      request.abort();
    }
  }
}
