import {FleetServer, RequestOutcome} from '../fleet/index.js';
import {nameTermination, WatchedContent} from '../quarantine/index.js';
import {VersionOutcome} from '../rollout/index.js';
import {AttemptOutcome, AttemptResult} from './attempt_result.js';
import {RelayOptions} from './relay_options.js';
import {RelayRecord} from './relay_record.js';

/** Result of an attempt, for a `RunObserver`. */
export interface ObservedResult extends AttemptResult {
  /** Whether the server became known to have terminated during the attempt. */
  readonly serverTerminated: boolean;
}

/** What a `RunObserver` observes. */
export interface ObservedRun {
  readonly route: string;
  readonly content: WatchedContent;
  readonly record: RelayRecord;
}

/**
 * Observes the attempts at one request: updates the suspicion against the request and its
 * sender and the counts of the versions that ran it, and tells whether the quarantine
 * blocks the request.
 */
export class RunObserver {
  constructor(
    private readonly options: RelayOptions,
    private readonly observed: ObservedRun,
  ) {}

  /**
   * Returns the time for which the request is quarantined, in milliseconds; 0 if it is not.
   * @param hasBegun - Whether part of an answer was relayed. A quarantine of the sender
   *   then does not count: a stream is not broken off for other requests of its sender.
   */
  getBlockedMs(hasBegun: boolean): number {
    const {content} = this.observed;
    const senderBlockedMs = hasBegun ? 0 : content.getSenderRemainingBlockMs();
    return Math.max(content.getRemainingBlockMs(), senderBlockedMs);
  }

  /**
   * Makes an attempt and records its result.
   * @param server - Server that the request is sent to.
   * @param attempt - Makes the attempt.
   */
  async run(
    server: FleetServer,
    attempt: () => Promise<ObservedResult>,
  ): Promise<AttemptResult> {
    const {route, content} = this.observed;
    const {service, version = ''} = server;
    const run = this.options.versionLedger.begin(service, version, route);
    content.beginRun();
    try {
      const result = await attempt();
      // Read now: the entry of a server that leaves may be gone once the checks are done.
      const wasLeaving = this.options.fleet.isLeaving(server.id);
      // A failure of this host's own connections is not held against server or request.
      const isOwnFault = await this.hasLostAllServers(server, result);
      const serverTerminated =
        !isOwnFault && (await this.recordOutcome(server, result, wasLeaving));
      const {firstMs, wholeMs} = result;
      const end = isOwnFault
        ? VersionOutcome.NEUTRAL
        : getVersionOutcome(result, serverTerminated);
      run.finish(end, firstMs, wholeMs);
      this.options.metrics.increment('version_runs', {service, version, end});
      return result;
    } finally {
      run.finish(VersionOutcome.NEUTRAL);
      content.endRun();
    }
  }

  /** Checks after a failed connection whether this host reaches any server of the service. */
  private async hasLostAllServers(
    {service}: FleetServer,
    {isDisconnected, lostAfterMs}: ObservedResult,
  ): Promise<boolean> {
    const {reachability} = this.options;
    if (isDisconnected !== true) {
      return false;
    }
    await reachability.check(service, lostAfterMs !== undefined);
    return reachability.isOwnFault(service);
  }

  /** Records the outcome of an attempt; returns whether the server has terminated. */
  private async recordOutcome(
    server: FleetServer,
    result: ObservedResult,
    wasLeaving: boolean,
  ): Promise<boolean> {
    const {content, record} = this.observed;
    const {outcome, lostAfterMs} = result;
    // Only a complete answer counts: a server may answer a request with an error before
    // it has begun to run it.
    if (outcome === AttemptOutcome.DONE) {
      content.addAnswer();
    }
    if (lostAfterMs === undefined) {
      return false;
    }
    const serverTerminated = await this.recordLoss(server, result, wasLeaving);
    record.addLostRun({
      content: content.getName(),
      server: server.id,
      ranMs: lostAfterMs,
      serverTerminated,
    });
    return serverTerminated;
  }

  /** Records that the run was lost; returns whether the server has terminated. */
  private async recordLoss(
    {id, name, address}: FleetServer,
    {serverTerminated}: ObservedResult,
    wasLeaving: boolean,
  ): Promise<boolean> {
    const {content} = this.observed;
    if (serverTerminated) {
      content.addTermination(nameTermination(address, id));
      return true;
    }
    return content.addLoss({name, incarnation: id, address, wasLeaving});
  }
}

/** Returns the outcome of an attempt as it counts for the version that ran it. */
function getVersionOutcome(
  {serverOutcome}: AttemptResult,
  serverTerminated: boolean,
): VersionOutcome {
  if (serverOutcome === RequestOutcome.SUCCEEDED) {
    return VersionOutcome.GOOD;
  }
  // The termination of a server is not counted against its version, whatever caused it.
  const isNeutral =
    serverOutcome === RequestOutcome.NEUTRAL || serverTerminated;
  return isNeutral ? VersionOutcome.NEUTRAL : VersionOutcome.BAD;
}
