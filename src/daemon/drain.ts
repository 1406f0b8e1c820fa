import {GenerationStore} from '../generation/index.js';
import {Bookkeeper} from '../journal/index.js';
import {Log} from '../log/index.js';
import {EntryHostState, Membership} from '../membership/index.js';
import {Peers} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {toGenerationRecord} from './generation_record.js';

/** What draining works with. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly membership: Membership;
  readonly bookkeeper: Bookkeeper;
  readonly store: GenerationStore;
  readonly peers: Peers;
  readonly dataCentre: string;
  /** Returns the number of callers' requests in progress. */
  readonly countInFlight: () => number;
  /** Time given to the balancer before new work is refused, in ms. */
  readonly noticeMs: number;
}

const POLL_MS = 25;
const FLUSH_MS = 2000;
const SEND_TIMEOUT_MS = 2000;

/** Takes a host out of service without cutting off a request. */
export class Drain {
  private refusing = false;
  private drained = false;

  constructor(private readonly options: DrainOptions) {}

  /** Tells whether new work is refused. */
  isRefusing(): boolean {
    return this.refusing;
  }

  /** Tells whether the balancer should send nothing here. */
  isDraining(): boolean {
    return this.drained;
  }

  /**
   * Stops or resumes taking new work. Work that comes during the notice is
   * still taken, since the balancer learns of the drain with a delay.
   * @param on - Whether to drain.
   */
  set(on: boolean): void {
    if (this.drained === on) {
      return;
    }
    this.drained = on;
    this.options.log.info('drain', {on});
    this.options.membership.setOwnState(
      on ? EntryHostState.LEAVING : EntryHostState.LIVE,
    );
    this.options.peers.hurry();
    if (!on) {
      this.refusing = false;
      return;
    }
    void this.options.clock.sleep(this.options.noticeMs).then(() => {
      this.refusing = this.drained;
    });
  }

  /**
   * Drains for good: finishes or hands on everything.
   * @param graceMs - Longest time to wait for work in flight, in milliseconds.
   */
  async leave(graceMs: number): Promise<void> {
    const {clock, log, noticeMs} = this.options;
    const endMs = clock.monotonicMs() + Math.max(noticeMs, graceMs);
    this.set(true);
    await clock.sleep(noticeMs);
    this.refusing = true;
    // Slot books move at once: a peer can serve their keys from now on.
    const successors = this.listSuccessors();
    const handedOver = this.options.bookkeeper.handOver(successors);
    while (this.countWork() > 0 && clock.monotonicMs() < endMs) {
      await clock.sleep(POLL_MS);
    }
    await Promise.race([
      handedOver,
      clock.sleep(Math.max(POLL_MS, endMs - clock.monotonicMs())),
    ]);
    await this.handOverGenerations(successors);
    await this.options.bookkeeper.flush(FLUSH_MS);
    log.info('drained', {left: this.countWork()});
  }

  private countWork(): number {
    return (
      this.options.countInFlight() +
      this.options.store.listRunning().length +
      this.options.bookkeeper.countPending()
    );
  }

  /** Live peers, those of this data centre first. */
  private listSuccessors(): string[] {
    const {membership, dataCentre} = this.options;
    const peers = membership.listLivePeers();
    const here = peers.filter(peer => peer.dataCentre === dataCentre);
    const chosen = here.length > 0 ? here : peers;
    return chosen.map(peer => peer.host);
  }

  /** Passes on what did not finish; its callers resume through other hosts. */
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
