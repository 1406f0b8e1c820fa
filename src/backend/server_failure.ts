/** How far a failed request got towards a back end. */
export const Reach = {
  /** No byte of it was delivered; another server may be tried. */
  NOT_SENT: 'not-sent',
  /** It may have been delivered and run. */
  SENT: 'sent',
} as const;
export type Reach = (typeof Reach)[keyof typeof Reach];

/** A request to a back end that brought no usable answer. */
export class ServerFailure extends Error {
  /**
   * @param reach - How far the request got.
   * @param detail - What happened.
   */
  constructor(
    readonly reach: Reach,
    detail: string,
  ) {
    super(detail);
  }
}
