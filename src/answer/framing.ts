/** How the end of an answer's body is marked, as in RFC 9112, section 6.3. */
export const Framing = {
  /** By its `Content-Length`. */
  LENGTH: 'length',
  /** By the last chunk of its chunked transfer coding. */
  CHUNKS: 'chunks',
  /** By nothing but the end of its connection. */
  CONNECTION: 'connection',
  /** The answer has no body: its request was a HEAD, or by its status. */
  NONE: 'none',
} as const;
export type Framing = (typeof Framing)[keyof typeof Framing];

/** Head of an answer, as far as it tells how the end of the body is marked. */
export interface FramedHead {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  readonly contentLength: string | undefined;
  readonly transferEncoding: string | undefined;
}

/** Statuses of responses without a body: no content, not modified. */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);

/** Any other last coding lasts until the end of the connection. */
const CHUNKED_LAST = /(^|,)\s*chunked\s*$/i;

/** Returns how the end of an answer's body is marked. */
export function getFraming(head: FramedHead): Framing {
  if (head.method === 'HEAD' || BODILESS.has(head.status)) {
    return Framing.NONE;
  }
  if (head.transferEncoding !== undefined) {
    return CHUNKED_LAST.test(head.transferEncoding)
      ? Framing.CHUNKS
      : Framing.CONNECTION;
  }
  return head.contentLength === undefined ? Framing.CONNECTION : Framing.LENGTH;
}
