import {Result} from 'true-myth';
import {Random} from '../random/index.js';
import {chooseLinks, LinkCandidate} from './choose_links.js';
import {PeerConnection, PeerConnectionOptions} from './peer_connection.js';
import {PeerFailure, PeerFailureKind} from './peer_failure.js';
import {PeerLink, PeerLinkOptions} from './peer_link.js';
import {PeerListener} from './peer_listener.js';

/** What the peers façade works with. */
export interface PeersOptions {
  readonly connection: PeerConnectionOptions;
  readonly random: Random;
  readonly heartbeatMs: number;
  readonly silenceMs: number;
  /** Addresses to try while no host is known. */
  readonly seeds: readonly string[];
  /** Returns the hosts that could be linked to. */
  readonly listCandidates: () => readonly LinkCandidate[];
  /** Returns those to keep linked with; left out, `chooseLinks` does. */
  readonly listLinks?: () => readonly LinkCandidate[];
  /** See `PeerLinkOptions.createHeartbeat`. */
  readonly createHeartbeat: PeerLinkOptions['createHeartbeat'];
  /** See `PeerLinkOptions.receiveReply`. */
  readonly receiveReply?: PeerLinkOptions['receiveReply'];
  /** See `PeerLinkOptions.onUnreachable`. */
  readonly onUnreachable?: PeerLinkOptions['onUnreachable'];
}

const UPDATE_MS = 500;
const DIAL_POLL_MS = 20;
/** Time for which a link is kept that was made for one request, in ms. */
const ON_DEMAND_MS = 5000;

/** All connections to and from peers. */
export class Peers {
  private readonly links = new Map<string, PeerLink>();
  /** Links made for a request, by address, with when they were asked for last. */
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

  /** Starts to listen; returns the port. */
  listen(host: string, port: number): Promise<number> {
    return this.listener.listen(host, port);
  }

  /** Keeps links to the chosen peers until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.updateLinks();
      await this.options.connection.clock.sleep(UPDATE_MS, signal);
    }
  }

  /** Sends every peer a heartbeat at once, since there is news. */
  hurry(): void {
    for (const link of this.links.values()) {
      link.hurry();
    }
  }

  /** Closes everything. */
  stop(): void {
    for (const link of this.links.values()) {
      link.stop();
    }
    this.listener.stop();
  }

  /** Returns the names of the hosts connected now. */
  listConnected(): readonly string[] {
    return [...this.connections.keys()];
  }

  /**
   * Sends a request to a host, connecting to it first if need be.
   * @param host - Name of the host.
   * @param body - The request.
   * @param timeoutMs - Limit on the whole exchange, in milliseconds.
   * @param onPart - Called for each part that comes before the reply.
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
      .find(known => known.host === host);
    if (found !== undefined || candidate === undefined) {
      return found;
    }
    this.onDemand.set(candidate.address, clock.monotonicMs());
    this.addLink(candidate.address);
    const limitMs = Math.min(
      endMs,
      clock.monotonicMs() + this.options.silenceMs,
    );
    while (clock.monotonicMs() < limitMs) {
      const connected = this.connections.get(host)?.at(-1);
      if (connected !== undefined) {
        return connected;
      }
      await clock.sleep(DIAL_POLL_MS);
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
    for (const [address, askedMs] of this.onDemand) {
      if (nowMs - askedMs > ON_DEMAND_MS) {
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
      silenceMs: this.options.silenceMs,
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
    const known = this.connections.get(host) ?? [];
    this.connections.set(host, [...known, connection]);
  }

  private removeConnection(connection: PeerConnection): void {
    const host = connection.getPeer()?.host ?? '';
    const rest = (this.connections.get(host) ?? []).filter(
      other => other !== connection,
    );
    if (rest.length === 0) {
      this.connections.delete(host);
      return;
    }
    this.connections.set(host, rest);
  }
}

/** Returns the callbacks that a link may do without. */
function pickCallbacks({
  receiveReply,
  onUnreachable,
}: PeersOptions): Pick<PeerLinkOptions, 'receiveReply' | 'onUnreachable'> {
  return {
    ...(receiveReply === undefined ? {} : {receiveReply}),
    ...(onUnreachable === undefined ? {} : {onUnreachable}),
  };
}
