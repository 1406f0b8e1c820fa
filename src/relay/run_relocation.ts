import {Result} from 'true-myth';
import {Attempts} from '../attempts/index.js';
import {FleetServer} from '../fleet/index.js';
import {AnswerRelay} from './answer_relay.js';
import {CopyFailure} from './copy_run.js';
import {RelayOptions} from './relay_options.js';
import {CopiedRun, relocateRun} from './relocate_run.js';
import {ServerChoice} from './server_choice.js';

/** What the relocation of a request's run needs to know about the request. */
export interface RelocationParams {
  readonly requestId: string;
  readonly attempts: Attempts;
  readonly answer: AnswerRelay;
  readonly choice: ServerChoice;
  /** Returns whether the request runs at a server. */
  readonly isRunningAt: (server: FleetServer) => boolean;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly cancelled: AbortSignal;
}

/**
 * Relocates the run of a request that may not run a second time from a server that leaves: a
 * stream of such a request can continue only from a copy of the run's KV cache.
 */
export class RunRelocation {
  private inProgress: Promise<void> | undefined;
  /** Result of stopping the run of the current attempt; absent if it goes on. */
  private stopping: Promise<Result<string, CopyFailure>> | undefined;
  private copiedRun: CopiedRun | undefined;

  constructor(
    private readonly options: RelayOptions,
    private readonly params: RelocationParams,
  ) {}

  /** Returns where the run continues; absent if no copy was made. */
  getCopiedRun(): CopiedRun | undefined {
    return this.copiedRun;
  }

  /** Begins to relocate the run; has no effect while that is in progress. */
  begin(from: FleetServer): void {
    this.inProgress ??= this.relocate(from).finally(() => {
      this.inProgress = undefined;
    });
  }

  /** Waits until a relocation in progress has ended. */
  async wait(): Promise<void> {
    await this.inProgress;
  }

  /** Discards the copy if it is at an incarnation of a server that has terminated. */
  discardAt(server: FleetServer): void {
    if (this.copiedRun?.server.id === server.id) {
      this.copiedRun = undefined;
    }
  }

  /** Records that another attempt begins, whose run nobody has stopped. */
  beginAttempt(): void {
    this.stopping = undefined;
  }

  /** Tells whether the server of the current attempt may have stopped the run. */
  async mayBeStopped(): Promise<boolean> {
    const result = await this.stopping;
    const hadEnded = result?.isErr && result.error === CopyFailure.NO_RUN;
    return result !== undefined && hadEnded !== true;
  }

  private async relocate(from: FleetServer): Promise<void> {
    const {requestId, answer, isRunningAt, cancelled} = this.params;
    this.copiedRun =
      (await relocateRun(this.options, from, {
        requestId,
        isAtSource: () => isRunningAt(from) && !cancelled.aborted,
        isDestinationReady: server => this.isReady(server),
        chooseDestination: () => this.chooseDestination(from),
        secureAttempt: () => this.secureAttempt(from),
        onStop: result => {
          this.stopping = result;
        },
        cancelled,
      })) ?? this.copiedRun;
    const {copiedRun} = this;
    // Without a new copy, it is absent, or one from another server made before.
    if (copiedRun?.copy.source !== from.address) {
      return;
    }
    this.options.metrics.increment('relocated');
    this.options.log.info('relocated', {
      request: requestId,
      server: from.id,
      to: copiedRun.server.id,
      after_event: answer.getLastEventId(),
    });
  }

  /** Takes the retry before the run is stopped, since nothing could go on without it. */
  private secureAttempt(from: FleetServer): boolean {
    const isSecured = this.params.attempts.reserveRetry();
    if (!isSecured) {
      this.options.metrics.increment('relocations_denied');
      this.options.log.info('relocation_denied', {
        request: this.params.requestId,
        server: from.id,
        reason: 'retry-budget',
      });
    }
    return isSecured;
  }

  private isReady({id}: FleetServer): boolean {
    const {backoffs, fleet} = this.options;
    return fleet.isReady(id) && !backoffs.isActive(id);
  }

  /**
   * Chooses the server where the run is to continue, and takes one of its permits. Also
   * excludes the server that the run leaves from further attempts.
   */
  private chooseDestination(from: FleetServer): FleetServer | undefined {
    const {attempts, choice} = this.params;
    attempts.exclude(from.id);
    const destination = choice.getServer(choice.chooseSameVersion(from));
    if (destination !== undefined) {
      this.options.limits.takePermit(destination.id);
    }
    return destination;
  }
}
