import {HostLoad} from '../../src/host_load/index.js';
import {Log, LogFields} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualEventLoop} from './virtual_event_loop.js';

/** Processor time to read and decide on a head, and to serve an accepted request. */
const HEAD_MS = 0.9;
const BODY_MS = 4;
const SEND_MS = 5;
/** Processor time to accept a connection, one a request. */
const ACCEPT_MS = 0.1;
/** Requests per second that a host can do. */
export const HOST_RATE = 1000 / (ACCEPT_MS + HEAD_MS + BODY_MS + SEND_MS);

/** A request and what became of it; times in monotonic milliseconds. */
export interface VirtualRequest {
  readonly startMs: number;
  readonly rank: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly customer?: string;
  refusedMs?: number;
  retryS?: number;
  cause?: string;
  sentMs?: number;
  /** When its connection was closed unread. */
  shedMs?: number;
}

/** A host in which each request costs processor time, on a virtual event loop. */
export class VirtualHost {
  readonly loop = new VirtualEventLoop();
  readonly lines: LogFields[] = [];
  readonly results: VirtualRequest[] = [];
  readonly load: HostLoad;
  private readonly controller = new AbortController();

  /** Requests in flight of the other hosts, on average; absent if they do not report. */
  peerLoad: number | undefined;
  /** Whether requests are refused because of the host's load. */
  refusesByLoad = true;

  constructor() {
    const log: Log = {
      info: () => undefined,
      warn: (_event, fields = {}) => void this.lines.push(fields),
      error: () => undefined,
    };
    const {loop} = this;
    this.load = new HostLoad({
      clock: loop,
      log,
      metrics: new Metrics(),
      random: new SeededRandom(1),
      refusesByLoad: () => this.refusesByLoad,
      afterPoll: loop.afterPoll,
      readIdleMs: () => loop.idleMs,
      readUsedMs: () => loop.usedMs,
      getCores: () => 1,
      countInFlight: () => 0,
      getMeanPeerLoad: () => this.peerLoad,
    });
    void this.load.run(this.controller.signal);
  }

  /** Adds a request; its result is filled in as the event loop runs. */
  arrive(
    startMs: number,
    request: Partial<VirtualRequest> = {},
  ): VirtualRequest {
    const {rank = 0, targetMs = 200, customer} = request;
    const result: VirtualRequest = {
      startMs,
      rank,
      targetMs,
      deadlineMs: startMs + 2 * targetMs,
      ...(customer === undefined ? {} : {customer}),
    };
    this.results.push(result);
    this.loop.addEvent(startMs, () => this.read(result));
    return result;
  }

  private read(result: VirtualRequest): void {
    const {loop, load} = this;
    loop.work(ACCEPT_MS);
    if (load.shedsConnection()) {
      result.shedMs = loop.monotonicMs();
      return;
    }
    const arrivedMs = load.estimateArrivalMs();
    loop.work(HEAD_MS);
    const {rank, targetMs, startMs, deadlineMs, customer} = result;
    const refusal = load.refuse({
      arrivedMs,
      deadlineMs: arrivedMs + deadlineMs - startMs,
      rank,
      targetMs,
      ...(customer === undefined
        ? {}
        : {customer: {name: customer, weight: 1}}),
    });
    if (refusal !== undefined) {
      result.refusedMs = loop.monotonicMs();
      result.retryS = refusal.problem.retryAfterSeconds ?? 0;
      result.cause = String(refusal.fields.cause);
      return;
    }
    const unsent = load.track(arrivedMs);
    // The body, the connection to the server and sending each take a turn.
    loop.addEvent(loop.monotonicMs(), () => {
      loop.work(BODY_MS);
      loop.addEvent(loop.monotonicMs(), () => {
        loop.work(SEND_MS);
        unsent.addSend();
        result.sentMs = loop.monotonicMs();
      });
    });
  }
}
