/** Whether a failed request may have reached the backend server. */
export const DeliveryState = {
  /** No part of it was delivered, so it can be sent to another server. */
  NOT_SENT: 'not-sent',
  /** It may have been delivered and executed. */
  SENT: 'sent',
} as const;
export type DeliveryState = (typeof DeliveryState)[keyof typeof DeliveryState];

/** A request to a backend server that got no usable response. */
export class ServerFailure extends Error {
  /**
   * @param deliveryState - Whether the request may have reached the server.
   * @param detail - What happened.
   */
  constructor(
    readonly deliveryState: DeliveryState,
    detail: string,
  ) {
    super(detail);
  }
}
