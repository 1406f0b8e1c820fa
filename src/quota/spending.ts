/**
 * Units of one customer that one or several incarnations of hosts have
 * admitted.
 */
export interface Spending {
  readonly customer: string;
  readonly units: number;
}
