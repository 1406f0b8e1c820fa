/** Whether a failed request may have reached the backend server. */
export const Reach = {
  /** No part of it was delivered, so it can be sent to another server. */
  NOT_SENT: 'not-sent',
  /** It may have been delivered and executed. */
  SENT: 'sent',
} as const;
export type Reach = (typeof Reach)[keyof typeof Reach];

/** A request to a backend server that got no usable response. */
export class ServerFailure extends Error {
  /**
   * @param reach - Whether the request may have reached the server.
   * @param detail - What happened.
   */
  constructor(
    readonly reach: Reach,
    detail: string,
  ) {
    super(detail);
  }
}
