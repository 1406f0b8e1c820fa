import {Framing} from './framing.js';
import {IncompleteAnswer, IncompleteReason} from './incomplete_answer.js';

/** How a body ended. */
export interface BodyEnd {
  readonly framing: Framing;
  /**
   * Whether the marked end has arrived: all bytes of its length, its last chunk, or the
   * close of its connection.
   */
  readonly hasMarkedEnd: boolean;
}

/** How a stream of events ended whose body ended as marked. */
export interface StreamEnd {
  readonly framing: Framing;
  readonly isInsideEvent: boolean;
  /** Events of this answer. */
  readonly eventCount: number;
  /** Whether the server may have stopped the run, as it was asked to. */
  readonly mayBeStopped: boolean;
}

/**
 * Checks whether a body is complete.
 * @returns Why it is not; `undefined` if it is.
 */
export function checkBodyEnd({
  framing,
  hasMarkedEnd,
}: BodyEnd): IncompleteAnswer | undefined {
  if (hasMarkedEnd) {
    return undefined;
  }
  return framing === Framing.CONNECTION
    ? new IncompleteAnswer(
        IncompleteReason.RESET,
        'the connection was reset before the response was complete',
      )
    : new IncompleteAnswer(
        IncompleteReason.TRUNCATED,
        'response ended before its body was complete',
      );
}

/**
 * Checks whether a stream is complete, once `checkBodyEnd` has found nothing. A server that
 * fails closes its connections in the same way as one that is done, so that a close alone
 * does not show that the stream is complete.
 * @returns Why it is not; `undefined` if it is.
 */
export function checkStreamEnd({
  framing,
  isInsideEvent,
  eventCount,
  mayBeStopped,
}: StreamEnd): IncompleteAnswer | undefined {
  if (isInsideEvent) {
    return new IncompleteAnswer(
      IncompleteReason.INSIDE_EVENT,
      `stream ended inside event ${eventCount + 1}`,
    );
  }
  if (mayBeStopped && framing === Framing.CONNECTION) {
    return new IncompleteAnswer(
      IncompleteReason.STOPPED,
      'stream closed without a marked end after its run was to be stopped',
    );
  }
  return eventCount === 0 && framing === Framing.CONNECTION
    ? new IncompleteAnswer(
        IncompleteReason.NO_EVENT,
        'stream ended before its first event',
      )
    : undefined;
}
