import {Socket} from 'node:net';
import {FakeServer, formatHead, ReceivedRequest} from './fake_server.js';

/** Behaviour of a brittle server. */
export interface BrittleServerOptions {
  /** Requests that it runs concurrently. */
  readonly slots: number;
  readonly workMs: number;
  /** Requests that may wait before it is brittle, and from `contactMs` after it says so. */
  readonly usualQueue: number;
  readonly brittleQueue: number;
  readonly contactMs: number;
  /** Rejections in a second beyond which it falls, once its queue is short. */
  readonly maxRejections: number;
  /** Time for which it is down after a fall, in milliseconds. */
  readonly downMs: number;
}

const SECOND_MS = 1000;

/** Makes a fake server state that it is brittle, and fall over after too many rejections. */
export class BrittleServer {
  falls = 0;
  private brittleSinceMs: number | undefined;
  private downUntilMs = 0;
  private running = 0;
  private readonly waiting: (() => void)[] = [];
  private rejectedMs: number[] = [];

  constructor(
    private readonly server: FakeServer,
    private readonly options: BrittleServerOptions,
  ) {
    server.script = (socket, request) => this.serve(socket, request);
  }

  /** States from now on that it is brittle, or no longer. */
  setBrittle(isBrittle: boolean): void {
    this.brittleSinceMs = isBrittle ? performance.now() : undefined;
  }

  private serve(socket: Socket, request: ReceivedRequest): void {
    if (performance.now() < this.downUntilMs) {
      socket.resetAndDestroy();
      return;
    }
    if (this.running < this.options.slots) {
      this.run(socket, request);
      return;
    }
    if (this.waiting.length < this.getQueueLimit()) {
      this.waiting.push(() => this.run(socket, request));
      return;
    }
    this.reject(socket, request);
  }

  private run(socket: Socket, request: ReceivedRequest): void {
    this.running++;
    setTimeout(() => {
      this.running--;
      const body = 'whole';
      const headers = [`Content-Length: ${body.length}`, ...this.listHeaders()];
      socket.write(formatHead(request, 200, headers) + body);
      this.waiting.shift()?.();
    }, this.options.workMs);
  }

  private reject(socket: Socket, request: ReceivedRequest): void {
    const headers = [
      'Not-Executed: 1',
      'Content-Length: 0',
      ...this.listHeaders(),
    ];
    socket.write(formatHead(request, 503, headers));
    const nowMs = performance.now();
    this.rejectedMs = this.rejectedMs.filter(ms => nowMs - ms < SECOND_MS);
    this.rejectedMs.push(nowMs);
    const {maxRejections, downMs} = this.options;
    if (this.isShortOfQueue() && this.rejectedMs.length > maxRejections) {
      this.falls++;
      this.downUntilMs = nowMs + downMs;
      this.rejectedMs = [];
      this.waiting.length = 0;
      for (const open of this.server.sockets) {
        open.resetAndDestroy();
      }
    }
  }

  private listHeaders(): string[] {
    const {maxRejections} = this.options;
    return [
      'Keep-Alive: timeout=5',
      ...(this.brittleSinceMs === undefined
        ? []
        : [`Server-Brittle: ${maxRejections}`]),
    ];
  }

  private getQueueLimit(): number {
    const {usualQueue, brittleQueue} = this.options;
    return this.isShortOfQueue() ? brittleQueue : usualQueue;
  }

  private isShortOfQueue(): boolean {
    const sinceMs = this.brittleSinceMs ?? Infinity;
    return performance.now() - sinceMs >= this.options.contactMs;
  }
}
