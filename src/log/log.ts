/** Values that may stand in a log line. */
export type LogValue = string | number | boolean | undefined;

/** Members of a log line, in the order they are printed. */
export type LogMembers = Readonly<Record<string, LogValue>>;

/** Writes one line of key=value pairs per event. */
export interface Log {
  info(event: string, members?: LogMembers): void;
  warn(event: string, members?: LogMembers): void;
  error(event: string, members?: LogMembers): void;
}
