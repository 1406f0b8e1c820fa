/** The servers that can go on with a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Version of the software of the server that wrote the first event; may be empty. */
  readonly version: string;
}

/** How the origin of a stream became known. */
export const OriginSource = {
  /** This host began the stream, or another host told it ahead. */
  KNOWN: 'known',
  /** All servers that can have begun the stream have one version. */
  SOLE: 'sole',
  /** Another host was asked. */
  ASKED: 'asked',
  UNKNOWN: 'unknown',
} as const;
export type OriginSource = (typeof OriginSource)[keyof typeof OriginSource];

/** What is known of the origin of a stream. */
export interface FoundOrigin {
  readonly source: OriginSource;
  /** Absent if the source is `UNKNOWN`. */
  readonly origin?: StreamOrigin;
}
