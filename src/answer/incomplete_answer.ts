/** Why an answer is not complete. */
export const IncompleteReason = {
  /** It ended before the end that its framing announces. */
  TRUNCATED: 'truncated',
  /** Its connection, whose close would have marked the end, was reset. */
  RESET: 'reset',
  /** A stream ended inside an event. */
  INSIDE_EVENT: 'inside-event',
  /** A stream without a marked end closed before its first event. */
  NO_EVENT: 'no-event',
  /** A server that was to continue a stream repeats events of it. */
  REPEATED_EVENT: 'repeated-event',
  /** An event of a stream is longer than is accepted. */
  EVENT_TOO_LONG: 'event-too-long',
  /** Much more arrived than belongs to its body. */
  OVERHEAD: 'overhead',
  /** Its run was stopped, so that it can continue at another server. */
  STOPPED: 'stopped',
} as const;
export type IncompleteReason =
  (typeof IncompleteReason)[keyof typeof IncompleteReason];

/** Thrown where an answer ends that is not complete: its server broke it off. */
export class IncompleteAnswer extends Error {
  /**
   * @param reason - Why it is not complete.
   * @param detail - Description for the log.
   */
  constructor(
    readonly reason: IncompleteReason,
    detail: string,
  ) {
    super(detail);
  }
}
