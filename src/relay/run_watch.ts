import {FleetServer, FlightEnd} from '../fleet/index.js';
import {nameServerEnd, WatchedContent} from '../quarantine/index.js';
import {VersionEnd} from '../rollout/index.js';
import {AttemptEnd, AttemptResult} from './relay_attempt.js';
import {RelayOptions} from './relay_options.js';
import {RelayRecord} from './relay_record.js';

/** How an attempt went, and whether its server was known to have ended meanwhile. */
export interface WatchedResult extends AttemptResult {
  readonly serverIsLost: boolean;
}

/** What is watched. */
export interface WatchedRun {
  readonly route: string;
  readonly content: WatchedContent;
  readonly record: RelayRecord;
}

/**
 * Learns from the attempts at one request what they tell of the request, its sender and
 * the versions that ran it; keeps the request away from servers that it would end.
 */
export class RunWatch {
  constructor(
    private readonly options: RelayOptions,
    private readonly watched: WatchedRun,
  ) {}

  /**
   * Returns the time for which the request is kept away from servers, in milliseconds.
   * @param hasBegun - Whether its caller has got some of an answer: a stream is not
   *   broken off for what else its sender sends.
   */
  getHeldMs(hasBegun: boolean): number {
    const {content} = this.watched;
    const senderHeldMs = hasBegun ? 0 : content.getSenderHeldMs();
    return Math.max(content.getHeldMs(), senderHeldMs);
  }

  /**
   * Makes an attempt, and notes what it tells.
   * @param server - Where it runs.
   * @param attempt - Makes it.
   */
  async run(
    server: FleetServer,
    attempt: () => Promise<WatchedResult>,
  ): Promise<AttemptResult> {
    const {route, content} = this.watched;
    const {service, version = ''} = server;
    const run = this.options.versionLedger.begin(service, version, route);
    content.beginRun();
    try {
      const result = await attempt();
      const hasEnded = await this.noteEnd(server, result);
      const {firstMs, wholeMs} = result;
      const end = judgeVersionEnd(result, hasEnded);
      run.finish(end, firstMs, wholeMs);
      this.options.metrics.increment('version_runs', {service, version, end});
      return result;
    } finally {
      run.finish(VersionEnd.NEUTRAL);
      content.endRun();
    }
  }

  /** Notes what an end tells of the request; returns whether the server has ended. */
  private async noteEnd(
    server: FleetServer,
    result: WatchedResult,
  ): Promise<boolean> {
    const {content, record} = this.watched;
    const {end, brokenOffMs} = result;
    // A server may fail a request that it has not begun to run.
    if (end === AttemptEnd.DONE) {
      content.addAnswer();
    }
    if (brokenOffMs === undefined) {
      return false;
    }
    const hasEnded = await this.noteLoss(server, result);
    record.addLoss({
      content: content.getName(),
      server: server.id,
      ranMs: brokenOffMs,
      hasEnded,
    });
    return hasEnded;
  }

  /** Notes that a server broke the request off; returns whether it has ended. */
  private async noteLoss(
    {id, name, address}: FleetServer,
    {serverIsLost}: WatchedResult,
  ): Promise<boolean> {
    const {content} = this.watched;
    if (serverIsLost) {
      content.addEnd(nameServerEnd(address, id));
      return true;
    }
    const wasLeaving = this.options.fleet.isLeaving(id);
    return content.addLoss({name, start: id, address, wasLeaving});
  }
}

/** Judges what an attempt tells of the version that ran it. */
function judgeVersionEnd(
  {judged}: AttemptResult,
  hasEnded: boolean,
): VersionEnd {
  if (judged === FlightEnd.SUCCEEDED) {
    return VersionEnd.GOOD;
  }
  // What ended the server, or who took it away, is another question.
  const isNeutral = judged === FlightEnd.NEUTRAL || hasEnded;
  return isNeutral ? VersionEnd.NEUTRAL : VersionEnd.BAD;
}
