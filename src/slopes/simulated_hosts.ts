import {deflateSync, inflateSync} from 'node:zlib';
import {Result} from 'true-myth';
import {SilentLog} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {encodeFrame, FrameReader} from '../peer/index.js';
import {ReadAge, RowMessages, rowsSchema} from '../peering/index.js';
import {RowReplica} from '../replica/index.js';
import {VirtualClock} from '../time/index.js';
import {
  BulkAbility,
  bulkAbilitySchema,
  BulkTransfer,
  Compression,
  COMPRESSION_LEVEL,
  FetchProgress,
  segmentRequestSchema,
} from '../transfer/index.js';

/** Name of the replica that the simulated hosts exchange. */
export const SIMULATED_TABLE = 'op';

/** A simulated host. */
export interface SimulatedHostOptions {
  readonly name: string;
  readonly linkMbps: number;
  /** Whether large rows are transferred in bulk, as this release does. */
  readonly inBulk: boolean;
  /** Hosts to which new rows are forwarded. */
  readonly receivers: readonly string[];
}

/** A simulated host with the messages about rows, and the state of its link. */
export interface SimulatedHost extends SimulatedHostOptions {
  readonly replica: RowReplica;
  readonly rows: RowMessages;
  readonly bulk: BulkTransfer;
  readonly metrics: Metrics;
  /** When the link is free to send, and to receive, in virtual milliseconds. */
  link: SimulatedLink;
}

/** Use of a link. */
export interface SimulatedLink {
  sendFreeMs: number;
  receiveFreeMs: number;
  sentBytes: number;
  receivedBytes: number;
}

const LATENCY_MS = 5;
const MAX_FRAME_BYTES = 8_388_608;
const BITS_PER_BYTE = 8;
const BITS_PER_MS_AND_MBPS = 1000;

/** `ZLIB_COMPRESSION`, but within one turn of the event loop, as virtual time requires. */
const SYNC_COMPRESSION: Compression = {
  compress: async content => deflateSync(content, {level: COMPRESSION_LEVEL}),
  decompress: async (content, maxBytes) =>
    inflateSync(content, {maxOutputLength: maxBytes}),
};

/**
 * Hosts that exchange rows over links of limited speed, on a virtual clock. Each link
 * transmits messages in order, as a connection does.
 */
export class SimulatedHosts {
  readonly clock = new VirtualClock();
  readonly hosts = new Map<string, SimulatedHost>();
  /**
   * Changes a message on its way; `undefined` loses it. By default messages are not
   * changed.
   */
  alter: (message: SimulatedMessage) => unknown = ({body}) => body;

  /** Starts or restarts a host, with an empty replica. */
  start(options: SimulatedHostOptions): SimulatedHost {
    const {clock} = this;
    const log = new SilentLog();
    const metrics = new Metrics();
    const requestPeer = (to: string, body: unknown, timeoutMs: number) =>
      this.request(options.name, to, body, timeoutMs);
    const bulk = new BulkTransfer({
      clock,
      log,
      metrics,
      progress: new FetchProgress(clock),
      isEnabled: () => options.inBulk,
      getLinkMbps: () => options.linkMbps,
      requestPeer,
      compression: SYNC_COMPRESSION,
    });
    const replica = new RowReplica({getSignificantContent: text => text});
    const rows = new RowMessages({
      clock,
      log,
      metrics,
      replicas: new Map([[SIMULATED_TABLE, replica]]),
      readAge: new ReadAge(clock, [SIMULATED_TABLE]),
      requestPeer: requestPeer as never,
      bulk,
      listReceivers: () => options.receivers,
    });
    replica.addListener((_row, source) => {
      void rows.forward(SIMULATED_TABLE, source === 'store');
    });
    const link = this.hosts.get(options.name)?.link ?? createLink();
    const host = {...options, replica, rows, bulk, metrics, link};
    this.hosts.set(options.name, host);
    return host;
  }

  /**
   * Reports the versions of one host to another, as its heartbeat does.
   * @returns Time on the way, in milliseconds.
   */
  async reportStates(from: string, to: string): Promise<number> {
    const sentMs = this.clock.monotonicMs();
    const states = this.get(from).rows.listStates();
    const received = await this.transmit({from, to, body: {states}});
    if (received !== undefined) {
      this.get(to).rows.compare(from, states);
    }
    return this.clock.monotonicMs() - sentMs;
  }

  /** Occupies the link of a host with a reading of the store. */
  async readStore(host: string, bytes: number): Promise<void> {
    const {link, linkMbps} = this.get(host);
    const ms = getTransmissionMs(bytes, linkMbps);
    link.receiveFreeMs =
      Math.max(link.receiveFreeMs, this.clock.monotonicMs()) + ms;
    link.receivedBytes += bytes;
    await this.clock.sleep(link.receiveFreeMs - this.clock.monotonicMs());
  }

  private async request(
    from: string,
    to: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Error>> {
    const timeout = this.clock
      .sleep(timeoutMs)
      .then(() => Result.err<unknown, Error>(new Error('no reply')));
    return Promise.race([timeout, this.exchange(from, to, body)]);
  }

  private async exchange(
    from: string,
    to: string,
    body: unknown,
  ): Promise<Result<unknown, Error>> {
    const sender = this.get(from);
    const received = await this.transmit({from, to, body});
    try {
      const reply = await this.answer(to, from, received);
      const returned = await this.transmit({from: to, to: from, body: reply});
      if (received !== undefined && returned !== undefined) {
        return this.get(from) === sender
          ? Result.ok(returned)
          : await new Promise(() => undefined);
      }
    } catch (error) {
      return Result.err(error as Error);
    }
    return new Promise(() => undefined);
  }

  private async answer(
    to: string,
    from: string,
    body: unknown,
  ): Promise<unknown> {
    const {rows, bulk, inBulk} = this.get(to);
    const {kind, after, ability} = (body ?? {}) as {
      kind?: string;
      after?: number;
      ability?: BulkAbility;
    };
    if (kind === 'rows') {
      rows.receive(from, rowsSchema.parse(body));
      return {};
    }
    if (kind === 'segment' && inBulk) {
      return bulk.outgoing.readSegment(segmentRequestSchema.parse(body));
    }
    if (kind !== 'news') {
      throw new Error('unknown message');
    }
    const known = bulkAbilitySchema.optional().parse(ability);
    return rows.listUpdates(SIMULATED_TABLE, after ?? 0, known);
  }

  /** Transmits a message over the links of both hosts; `undefined` if it was lost. */
  private async transmit(message: SimulatedMessage): Promise<unknown> {
    const body = this.alter(message);
    if (body === undefined) {
      return undefined;
    }
    const frame = encodeFrame(body);
    const bytes = frame.length;
    const sender = this.get(message.from);
    const receiver = this.get(message.to);
    const nowMs = this.clock.monotonicMs();
    sender.link.sendFreeMs =
      Math.max(nowMs, sender.link.sendFreeMs) +
      getTransmissionMs(bytes, sender.linkMbps);
    receiver.link.receiveFreeMs = Math.max(
      sender.link.sendFreeMs,
      Math.max(nowMs, receiver.link.receiveFreeMs) +
        getTransmissionMs(bytes, receiver.linkMbps),
    );
    sender.link.sentBytes += bytes;
    receiver.link.receivedBytes += bytes;
    await this.clock.sleep(receiver.link.receiveFreeMs + LATENCY_MS - nowMs);
    return decode(frame);
  }

  private get(name: string): SimulatedHost {
    const host = this.hosts.get(name);
    if (host === undefined) {
      throw new Error(`no host ${name}`);
    }
    return host;
  }
}

/** A message on its way between two hosts. */
export interface SimulatedMessage {
  readonly from: string;
  readonly to: string;
  readonly body: unknown;
}

function createLink(): SimulatedLink {
  return {sendFreeMs: 0, receiveFreeMs: 0, sentBytes: 0, receivedBytes: 0};
}

function getTransmissionMs(bytes: number, linkMbps: number): number {
  return (bytes * BITS_PER_BYTE) / (linkMbps * BITS_PER_MS_AND_MBPS);
}

function decode(frame: Buffer): unknown {
  const reader = new FrameReader(MAX_FRAME_BYTES);
  reader.add(frame);
  return reader.read().unwrapOr(undefined)?.value;
}
