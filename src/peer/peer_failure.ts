/** How a request to a peer can fail. */
export const PeerFailureKind = {
  /** It certainly did not reach the peer. */
  NOT_SENT: 'not-sent',
  /** It may have reached the peer; no reply came. */
  SENT: 'sent',
  /** The peer answered that it failed. */
  REFUSED: 'refused',
} as const;
export type PeerFailureKind =
  (typeof PeerFailureKind)[keyof typeof PeerFailureKind];

/** A request to a peer that brought no reply. */
export class PeerFailure extends Error {
  constructor(
    readonly kind: PeerFailureKind,
    detail: string,
  ) {
    super(detail);
  }
}
