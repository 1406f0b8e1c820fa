/** Kinds of backend server: a model engine or a plain service. */
export const ServerKind = {ENGINE: 'engine', SERVICE: 'service'} as const;
export type ServerKind = (typeof ServerKind)[keyof typeof ServerKind];

/** A backend server, as configured by operators. */
export interface Server {
  readonly name: string;
  readonly kind: ServerKind;
  readonly dataCentre: string;
  readonly zone: string;
  readonly machineClass: string;
  /** IP address and port of its HTTP interface. */
  readonly address: string;
  /** Name of the plain service it runs; empty for an engine. */
  readonly service: string;
  /** Whether it refuses commands with an outdated fencing token. */
  readonly checksFence: boolean;
  /** Whether an operator has excluded it from new work. */
  readonly drained: boolean;
}
