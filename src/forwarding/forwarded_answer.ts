import {ServerResponse} from 'node:http';
import {Framing} from '../answer/index.js';
import {Problem, ProblemKind} from '../errors/index.js';
import {FleetServer} from '../fleet/index.js';
import {breakOff, writeChunk} from '../http/index.js';
import {encodeFrame} from '../peer/index.js';
import {AnswerSink, RawHeader} from '../relay/index.js';
import {DeclineReason, ForwardResponse} from './forward_frame.js';

/** Problems of this host alone, with which another host can be tried. */
const DECLINING: ReadonlyMap<ProblemKind, DeclineReason> = new Map([
  [ProblemKind.SERVERS_UNREACHABLE, DeclineReason.UNREACHABLE],
  [ProblemKind.SERVICE_BRITTLE, DeclineReason.NO_SLOT],
]);

/** The answer to a forwarded request, on the connection of the host that forwarded it. */
export class ForwardedAnswer implements AnswerSink {
  private server = '';
  private version = '';
  private isRejected = false;

  constructor(private readonly response: ServerResponse) {}

  /** Sets the server to which the request is sent. */
  setServer({id, version = ''}: Pick<FleetServer, 'id' | 'version'>): void {
    this.server = id;
    this.version = version;
  }

  /** Records that a server has rejected the request, and another one may be tried. */
  setRejected(): void {
    this.isRejected = true;
  }

  begin(status: number, headers: readonly RawHeader[]): void {
    this.writeHead({
      outcome: 'answered',
      status,
      headers: headers.map(([name, value]) => [name, value] as const),
      server: this.server,
      version: this.version,
    });
  }

  write(bytes: Uint8Array): Promise<void> {
    return this.isClosed()
      ? Promise.resolve()
      : writeChunk(this.response, bytes);
  }

  end(): void {
    if (!this.isClosed()) {
      this.response.end();
    }
  }

  disconnect(): void {
    // Peers use HTTP/1.1, so that each answer to them is sent in chunks.
    breakOff(this.response, Framing.CHUNKS);
  }

  refuse(problem: Problem): void {
    const reason = DECLINING.get(problem.kind);
    if (reason !== undefined) {
      this.decline(reason);
      return;
    }
    const {kind, status, detail, remedy, ran, retryAfterSeconds} = problem;
    const sent = {kind, status, detail, remedy, ran};
    this.writeHead({
      outcome: 'refused',
      problem:
        retryAfterSeconds === undefined ? sent : {...sent, retryAfterSeconds},
      server: this.server,
      ...(this.isRejected ? {rejected: true} : {}),
    });
    this.end();
  }

  /** Declines the request; nothing of it was sent to a server. */
  decline(reason: DeclineReason): void {
    this.response.shouldKeepAlive &&= reason !== DeclineReason.STOPPING;
    this.writeHead({outcome: 'declined', reason});
    this.end();
  }

  private writeHead(head: ForwardResponse): void {
    if (!this.isClosed()) {
      this.response.writeHead(200, {'Content-Type': 'application/cbor'});
      this.response.write(encodeFrame(head));
    }
  }

  private isClosed(): boolean {
    return this.response.destroyed || this.response.writableEnded;
  }
}
