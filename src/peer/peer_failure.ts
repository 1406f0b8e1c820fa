/** How a request to a peer can fail. */
export const PeerFailureKind = {
  /** The request was not sent to the peer. */
  NOT_SENT: 'not-sent',
  /** The request was sent, but no reply arrived; the peer may have handled it. */
  SENT: 'sent',
  /** The peer replied that its handler failed. */
  REFUSED: 'refused',
} as const;
export type PeerFailureKind =
  (typeof PeerFailureKind)[keyof typeof PeerFailureKind];

/** A request to a peer that failed. */
export class PeerFailure extends Error {
  constructor(
    readonly kind: PeerFailureKind,
    detail: string,
  ) {
    super(detail);
  }
}
