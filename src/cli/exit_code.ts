/** Exit codes of the command-line tool; docs/OPERATIONS.md lists them. */
export const ExitCode = {
  OK: 0,
  /** The host could not be reached, or reported a failure. */
  FAILED: 1,
  /** The command line is invalid, or a file cannot be read. */
  USAGE: 2,
  /** A record is invalid, or its file cannot be parsed. */
  INVALID: 3,
  /** The record was modified by another change since it was read. */
  CONFLICT: 4,
  /** The record or host does not exist. */
  NOT_FOUND: 5,
  /** Accepted, but not yet reported as in force by all data centres. */
  PENDING: 6,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Error that ends the tool with an exit code and a message on standard error. */
export class CommandFailure extends Error {
  constructor(
    readonly code: ExitCode,
    message: string,
  ) {
    super(message);
  }
}
