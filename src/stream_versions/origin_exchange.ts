import {Peers} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {
  MAX_TOLD_STREAMS,
  OriginQuestion,
  originReplySchema,
  Origins,
} from './origin_messages.js';
import {StreamOrigin} from './stream_origin.js';
import {BegunStream} from './stream_origins.js';

/** Dependencies of an `OriginExchange`. */
export interface OriginExchangeOptions {
  readonly clock: Clock;
  /** Lists the hosts that are told which streams this host has begun. */
  readonly listTold: () => readonly string[];
  /** Lists the hosts that are asked for the origin of a stream. */
  readonly listAsked: () => readonly string[];
  /** Returns whether the hosts that are asked must ask those of other data centres. */
  readonly isLargeFleet: () => boolean;
  readonly requestPeer: Peers['request'];
}

/**
 * Time for which streams are collected before other hosts are told, in milliseconds. The
 * callers of a host that is killed cannot take up the streams that it began within this time.
 */
const TELL_DELAY_MS = 50;
/** Timeout of a message that tells of streams, in milliseconds. */
const TELL_TIMEOUT_MS = 1000;
/** Longest wait for the replies of other hosts, in milliseconds; callers wait meanwhile. */
const ASK_TIMEOUT_MS = 200;

/** Tells other hosts the origins of streams, and asks them. */
export class OriginExchange {
  private pending: BegunStream[] = [];
  private isTimerRunning = false;

  constructor(private readonly options: OriginExchangeOptions) {}

  /** Tells other hosts of streams, together with those that begin shortly after. */
  tell(streams: readonly BegunStream[]): void {
    this.pending.push(...streams);
    if (!this.isTimerRunning && this.pending.length > 0) {
      this.isTimerRunning = true;
      this.options.clock.startTimer(TELL_DELAY_MS, () => this.send());
    }
  }

  /**
   * Asks other hosts at once; resolves to the first origin that one of them knows, or to
   * `undefined` if none does.
   * @param question - The stream.
   * @param asksOthers - Whether they are to ask further hosts; by default in a large fleet.
   */
  ask(
    question: Pick<OriginQuestion, 'id' | 'service'>,
    asksOthers = this.options.isLargeFleet(),
  ): Promise<StreamOrigin | undefined> {
    const {listAsked, requestPeer} = this.options;
    const hosts = listAsked();
    const body: OriginQuestion = {kind: 'origin', ...question, asksOthers};
    const timeoutMs = asksOthers ? 2 * ASK_TIMEOUT_MS : ASK_TIMEOUT_MS;
    let waitingCount = hosts.length;
    return new Promise(resolve => {
      if (waitingCount === 0) {
        resolve(undefined);
      }
      for (const host of hosts) {
        void requestPeer(host, body, timeoutMs).then(reply => {
          const parsed = originReplySchema.safeParse(reply.unwrapOr({}));
          const origin = parsed.data?.origin;
          waitingCount--;
          if (origin !== undefined || waitingCount === 0) {
            resolve(origin);
          }
        });
      }
    });
  }

  private send(): void {
    const {listTold, requestPeer} = this.options;
    this.isTimerRunning = false;
    const streams = this.pending.splice(0, MAX_TOLD_STREAMS);
    const message: Origins = {
      kind: 'origins',
      streams: streams.map(({id, service, version}) => [id, service, version]),
    };
    for (const host of listTold()) {
      // A host that is not reached asks when a caller takes one of the streams up.
      void requestPeer(host, message, TELL_TIMEOUT_MS);
    }
    this.tell([]);
  }
}
