/** What a backend server runs. */
export const ServerKind = {ENGINE: 'engine', SERVICE: 'service'} as const;
export type ServerKind = (typeof ServerKind)[keyof typeof ServerKind];

/** A backend server, as operators describe it. */
export interface Server {
  readonly name: string;
  readonly kind: ServerKind;
  readonly dataCentre: string;
  readonly zone: string;
  readonly machineClass: string;
  /** IP number and port of its HTTP interface. */
  readonly address: string;
  /** Name of the plain service it runs; empty for an engine. */
  readonly service: string;
  /** Whether it refuses orders that bear an old fencing number. */
  readonly checksFence: boolean;
  /** Whether an operator keeps new work from it. */
  readonly drained: boolean;
}
