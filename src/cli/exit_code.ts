/** Exit codes of the command-line tool; docs/OPERATIONS.md lists them. */
export const ExitCode = {
  OK: 0,
  /** The host could not be reached, or answered with a failure. */
  FAILED: 1,
  /** The command line or a file cannot be used. */
  USAGE: 2,
  /** The record has mistakes. */
  INVALID: 3,
  /** Another change came first. */
  CONFLICT: 4,
  /** There is no such record or host. */
  NOT_FOUND: 5,
  /** Accepted, but a data centre has not said that it is in force. */
  PENDING: 6,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Ends the tool with a code and a message for standard error. */
export class CommandFailure extends Error {
  constructor(
    readonly code: ExitCode,
    message: string,
  ) {
    super(message);
  }
}
