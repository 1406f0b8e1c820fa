/** Units of one customer that one start of a host, or several, have let through. */
export interface Spending {
  readonly customer: string;
  readonly units: number;
}
