/** Demand of one customer at one host, in units per second. */
export interface Demand {
  readonly customer: string;
  readonly perSecond: number;
}
