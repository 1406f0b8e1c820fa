import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
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
  readonly getPhase: () => ListenerPhase;
  /** Called for each request that is not handled. */
  readonly onIgnored: (message: IncomingMessage, reason: IgnoreReason) => void;
}

/**
 * Most requests that wait on one connection. They take memory, about 50 KB each, and reading
 * cannot be paused while their bodies are read.
 */
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
  /** Whether a request has arrived, or has been waited for. */
  private hasBeenUsed = false;

  constructor(
    private readonly socket: Socket,
    private readonly options: ServerConnectionOptions,
  ) {
    // node:http calls this after the last answer, and would not read what still arrives.
    socket.destroySoon = () => this.endSending();
    // A caller that closes only its sending side also counts as disconnected.
    socket.once('end', () => this.abort());
    socket.once('close', () => this.abort());
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
    const request = new ConnectionRequest(message, () =>
      this.closeAfter(request),
    );
    this.open.push(request);
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

  private closeAfter(request: ConnectionRequest): void {
    this.isClosing = true;
    const behind = this.open.slice(this.open.indexOf(request) + 1);
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
    }
    return index >= 0;
  }

  /** Reads a request and drops it. */
  private ignore(message: IncomingMessage, reason: IgnoreReason): void {
    this.options.onIgnored(message, reason);
    message.resume();
    this.ignoredCount++;
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
