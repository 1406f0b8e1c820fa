/** Value of a field; fields with the value `undefined` are omitted. */
export type LogValue = string | number | boolean | undefined;

/** Fields of a log line, in print order. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Writes one line of key=value pairs per event. */
export interface Log {
  info(event: string, members?: LogFields): void;
  warn(event: string, members?: LogFields): void;
  error(event: string, members?: LogFields): void;
}
