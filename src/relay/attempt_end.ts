/** What ended an attempt that brought no complete answer. */
export const AttemptEnd = {
  /** The server broke off, rejected the request, or could not be reached. */
  SERVER: 'server',
  /** The server is known to have terminated. */
  SERVER_TERMINATED: 'server-terminated',
  /** Another run of the request went on first while the server was silent. */
  SUPERSEDED: 'superseded',
  CALLER_LEFT: 'caller-left',
  DEADLINE: 'deadline',
  /** This host reaches no server of the service; the request goes by way of another host. */
  REROUTED: 'rerouted',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** Reason with which this host aborts an attempt. */
export class AttemptAborted extends Error {
  /**
   * @param end - What ended the attempt.
   * @param detail - Description for the log.
   */
  constructor(
    readonly end: AttemptEnd,
    detail: string,
  ) {
    super(detail);
  }
}

/**
 * Returns what ended an attempt.
 * @param signal - Signal that aborts the attempt; any other reason than `AttemptAborted` is
 *   that the caller has left.
 */
export function findAttemptEnd(signal: AbortSignal): AttemptEnd {
  if (!signal.aborted) {
    return AttemptEnd.SERVER;
  }
  const reason: unknown = signal.reason;
  return reason instanceof AttemptAborted ? reason.end : AttemptEnd.CALLER_LEFT;
}
