import {Result} from 'true-myth';
import {Random} from '../random/index.js';
import {chooseLinks, LinkCandidate} from './choose_links.js';
import {PeerConnection, PeerConnectionOptions} from './peer_connection.js';
import {PeerFailure, PeerFailureKind} from './peer_failure.js';
import {PeerLink, PeerLinkOptions} from './peer_link.js';
import {PeerListener} from './peer_listener.js';

/** Options of `Peers`. */
export interface PeersOptions {
  readonly connection: PeerConnectionOptions;
  readonly random: Random;
  /** See `PeerLinkOptions`. */
  readonly heartbeatMs: number;
  /** See `PeerLinkOptions`. */
  readonly getHeartbeatMs?: PeerLinkOptions['getHeartbeatMs'];
  /** See `PeerLinkOptions`; also the longest wait for a connection made for a request. */
  readonly heartbeatTimeoutMs: number;
  /** Addresses to connect to while no peer is connected; their links are then kept. */
  readonly seeds: readonly string[];
  /** Returns the hosts that connections can be opened to. */
  readonly listCandidates: () => readonly LinkCandidate[];
  /** Returns the hosts to keep connections to; default: the choice of `chooseLinks`. */
  readonly listLinks?: () => readonly LinkCandidate[];
  /** See `PeerLinkOptions.createHeartbeat`. */
  readonly createHeartbeat: PeerLinkOptions['createHeartbeat'];
  /** See `PeerLinkOptions.receiveReply`. */
  readonly receiveReply?: PeerLinkOptions['receiveReply'];
  /** See `PeerLinkOptions.onUnreachable`. */
  readonly onUnreachable?: PeerLinkOptions['onUnreachable'];
}

const LINK_UPDATE_INTERVAL_MS = 500;
const CONNECT_POLL_INTERVAL_MS = 20;
/** How long a link made for a request is kept after the last such request, in ms. */
const ON_DEMAND_LINK_TTL_MS = 5000;

/** Maintains all connections to and from peers, and sends requests over them. */
export class Peers {
  private readonly links = new Map<string, PeerLink>();
  /**
   * Links made for a request: address to the time at which a request last
   * needed one, in milliseconds of the monotonic clock.
   */
  private readonly onDemand = new Map<string, number>();
  private readonly connections = new Map<string, PeerConnection[]>();
  private readonly listener: PeerListener;

  constructor(private readonly options: PeersOptions) {
    this.listener = new PeerListener(
      options.connection,
      connection => this.addConnection(connection),
      connection => this.removeConnection(connection),
    );
  }

  /** Starts listening; returns the port. */
  listen(host: string, port: number): Promise<number> {
    return this.listener.listen(host, port);
  }

  /** Maintains links to the chosen peers until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.updateLinks();
      await this.options.connection.clock.sleep(
        LINK_UPDATE_INTERVAL_MS,
        signal,
      );
    }
  }

  /** Makes every link send a heartbeat without waiting for the interval, to deliver updates early. */
  sendHeartbeatsNow(): void {
    for (const link of this.links.values()) {
      link.sendHeartbeatNow();
    }
  }

  /** Closes all connections and stops listening. */
  stop(): void {
    for (const link of this.links.values()) {
      link.stop();
    }
    this.listener.stop();
  }

  /** Returns the names of the hosts that are connected. */
  listConnected(): readonly string[] {
    return [...this.connections.keys()];
  }

  /**
   * Sends a request to a host and waits for its reply. Connects to the host
   * first if there is no connection.
   * @param host - Name of the host.
   * @param body - The request.
   * @param timeoutMs - Time limit for connecting and the reply, in milliseconds.
   * @param onPart - Called for each part that arrives before the reply.
   * @param signal - Cancels the request.
   */
  async request(
    host: string,
    body: unknown,
    timeoutMs: number,
    onPart?: (part: unknown) => void,
    signal?: AbortSignal,
  ): Promise<Result<unknown, PeerFailure>> {
    const {clock} = this.options.connection;
    const endMs = clock.monotonicMs() + timeoutMs;
    const connection = await this.getConnection(host, endMs);
    if (connection === undefined) {
      const detail = `no connection to ${host}`;
      return Result.err(new PeerFailure(PeerFailureKind.NOT_SENT, detail));
    }
    const remainingMs = Math.max(0, endMs - clock.monotonicMs());
    return connection.request(body, remainingMs, onPart, signal);
  }

  private async getConnection(
    host: string,
    endMs: number,
  ): Promise<PeerConnection | undefined> {
    const {clock} = this.options.connection;
    const found = this.connections.get(host)?.at(-1);
    const candidate = this.options
      .listCandidates()
      .find(other => other.host === host);
    if (found !== undefined || candidate === undefined) {
      return found;
    }
    this.onDemand.set(candidate.address, clock.monotonicMs());
    this.addLink(candidate.address);
    const limitMs = Math.min(
      endMs,
      clock.monotonicMs() + this.options.heartbeatTimeoutMs,
    );
    while (clock.monotonicMs() < limitMs) {
      const connected = this.connections.get(host)?.at(-1);
      if (connected !== undefined) {
        return connected;
      }
      await clock.sleep(CONNECT_POLL_INTERVAL_MS);
    }
    return undefined;
  }

  private updateLinks(): void {
    const {self} = this.options.connection;
    const chosen =
      this.options.listLinks?.() ??
      chooseLinks(self, this.options.listCandidates());
    const wanted = new Set([
      ...chosen.map(candidate => candidate.address),
      ...this.listOnDemand(),
    ]);
    if (this.connections.size === 0) {
      for (const seed of this.options.seeds) {
        wanted.add(seed);
      }
    }
    for (const [address, link] of this.links) {
      if (!wanted.has(address) && !this.options.seeds.includes(address)) {
        link.stop();
        this.links.delete(address);
      }
    }
    for (const address of wanted) {
      this.addLink(address);
    }
  }

  private listOnDemand(): string[] {
    const nowMs = this.options.connection.clock.monotonicMs();
    for (const [address, lastRequestedMs] of this.onDemand) {
      if (nowMs - lastRequestedMs > ON_DEMAND_LINK_TTL_MS) {
        this.onDemand.delete(address);
      }
    }
    return [...this.onDemand.keys()];
  }

  private addLink(address: string): void {
    if (this.links.has(address)) {
      return;
    }
    const link = new PeerLink({
      address,
      connection: this.options.connection,
      random: this.options.random,
      heartbeatMs: this.options.heartbeatMs,
      heartbeatTimeoutMs: this.options.heartbeatTimeoutMs,
      createHeartbeat: this.options.createHeartbeat,
      ...pickCallbacks(this.options),
      onConnected: connection => this.addConnection(connection),
      onClosed: connection => this.removeConnection(connection),
    });
    this.links.set(address, link);
    void link.run();
  }

  private addConnection(connection: PeerConnection): void {
    const host = connection.getPeer()?.host ?? '';
    const existing = this.connections.get(host) ?? [];
    this.connections.set(host, [...existing, connection]);
  }

  private removeConnection(connection: PeerConnection): void {
    const host = connection.getPeer()?.host ?? '';
    const remaining = (this.connections.get(host) ?? []).filter(
      other => other !== connection,
    );
    if (remaining.length === 0) {
      this.connections.delete(host);
      return;
    }
    this.connections.set(host, remaining);
  }
}

/** Returns the optional callbacks that are defined. */
function pickCallbacks({
  receiveReply,
  onUnreachable,
  getHeartbeatMs,
}: PeersOptions): Pick<
  PeerLinkOptions,
  'receiveReply' | 'onUnreachable' | 'getHeartbeatMs'
> {
  return {
    ...(getHeartbeatMs === undefined ? {} : {getHeartbeatMs}),
    ...(receiveReply === undefined ? {} : {receiveReply}),
    ...(onUnreachable === undefined ? {} : {onUnreachable}),
  };
}
