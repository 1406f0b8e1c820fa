import {GenerationStore} from '../generation/index.js';
import {Bookkeeper} from '../journal/index.js';
import {Log} from '../log/index.js';
import {EntryHostState, Membership} from '../membership/index.js';
import {Peers} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {toGenerationRecord} from './generation_record.js';

/** Dependencies and settings of the drain. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly membership: Membership;
  readonly bookkeeper: Bookkeeper;
  readonly store: GenerationStore;
  readonly peers: Peers;
  readonly dataCentre: string;
  /** Returns the number of callers' requests in flight on this host. */
  readonly countInFlight: () => number;
  /** Time for the load balancer to notice the drain before new work is refused, in ms. */
  readonly noticeMs: number;
}

/** Pause between two checks for remaining work, in milliseconds. */
const WORK_POLL_MS = 25;
/** Longest wait for the journal to be written, in milliseconds. */
const FLUSH_TIMEOUT_MS = 2000;
/** Timeout for handing one generation to a peer, in milliseconds. */
const SEND_TIMEOUT_MS = 2000;

/** Takes this host out of service without interrupting requests in flight. */
export class Drain {
  private refusing = false;
  private drained = false;

  constructor(private readonly options: DrainOptions) {}

  /** Returns whether new work is refused. */
  isRefusing(): boolean {
    return this.refusing;
  }

  /** Returns whether the load balancer should send no requests to this host. */
  isDraining(): boolean {
    return this.drained;
  }

  /**
   * Starts or ends a drain. New work is still accepted for `noticeMs` after the
   * start, since the load balancer notices the drain with a delay.
   * @param on - Whether to drain.
   */
  setDraining(on: boolean): void {
    if (this.drained === on) {
      return;
    }
    this.drained = on;
    this.options.log.info('drain', {on});
    this.options.membership.setOwnState(
      on ? EntryHostState.LEAVING : EntryHostState.LIVE,
    );
    this.options.peers.sendHeartbeatsNow();
    if (!on) {
      this.refusing = false;
      return;
    }
    void this.options.clock.sleep(this.options.noticeMs).then(() => {
      this.refusing = this.drained;
    });
  }

  /**
   * Drains this host before it stops: waits for work in flight and hands over books
   * and unfinished generations to peers.
   * @param graceMs - Longest time to wait for work in flight, in milliseconds;
   *   `noticeMs` if that is longer.
   */
  async leave(graceMs: number): Promise<void> {
    const {clock, log, noticeMs} = this.options;
    const deadlineMs = clock.monotonicMs() + Math.max(noticeMs, graceMs);
    this.setDraining(true);
    await clock.sleep(noticeMs);
    this.refusing = true;
    // Slot books are handed over at once, so that a peer can serve their keys.
    const successors = this.listSuccessors();
    const handedOver = this.options.bookkeeper.handOver(successors);
    while (this.countWork() > 0 && clock.monotonicMs() < deadlineMs) {
      await clock.sleep(WORK_POLL_MS);
    }
    await Promise.race([
      handedOver,
      clock.sleep(Math.max(WORK_POLL_MS, deadlineMs - clock.monotonicMs())),
    ]);
    await this.handOverGenerations(successors);
    await this.options.bookkeeper.flush(FLUSH_TIMEOUT_MS);
    log.info('drained', {left: this.countWork()});
  }

  private countWork(): number {
    return (
      this.options.countInFlight() +
      this.options.store.listRunning().length +
      this.options.bookkeeper.countPending()
    );
  }

  /** Returns the live peers of this data centre, or all live peers if it has none. */
  private listSuccessors(): string[] {
    const {membership, dataCentre} = this.options;
    const peers = membership.listLivePeers();
    const local = peers.filter(peer => peer.dataCentre === dataCentre);
    const chosen = local.length > 0 ? local : peers;
    return chosen.map(peer => peer.host);
  }

  /** Hands over unfinished generations; their callers resume through other hosts. */
  private async handOverGenerations(
    successors: readonly string[],
  ): Promise<void> {
    const {store, bookkeeper, clock, log, peers} = this.options;
    const holder = bookkeeper.getOwnHolder() ?? successors[0];
    for (const generation of store.listRunning()) {
      if (holder === undefined) {
        return;
      }
      const record = toGenerationRecord(generation, clock.monotonicMs());
      const reply = await peers.request(
        holder,
        {kind: 'take-generation', generation: record},
        SEND_TIMEOUT_MS,
      );
      log.info('generation_handed_over', {
        request: generation.request.id,
        to: holder,
        taken: reply.isOk,
      });
      if (reply.isOk) {
        store.handOver(generation.request.id);
      }
    }
  }
}
