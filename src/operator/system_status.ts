/** An entry host, as status shows it. */
export interface HostLine {
  readonly host: string;
  readonly data_centre: string;
  readonly state: string;
  readonly alive: boolean;
  /** Time since it was last heard, in milliseconds; null if never. */
  readonly heard_ms: number | null;
  readonly revision: number | null;
  readonly books: number | null;
}

/** A data centre, as status shows it. */
export interface CentreLine {
  readonly data_centre: string;
  readonly hosts: number;
  /** Lowest revision in force on its live hosts; null if not heard. */
  readonly revision: number | null;
}

/** A backend server, as status shows it. */
export interface ServerLine {
  readonly server: string;
  readonly data_centre: string;
  readonly runs: string;
  readonly state: 'serving' | 'leaving' | 'ejected' | 'unheard';
  readonly in_flight: number;
  readonly running: number | null;
  readonly waiting: number | null;
  readonly capacity: number | null;
  readonly models: readonly string[];
}

/** State of the whole system, as one host knows it. */
export interface SystemStatus {
  readonly host: string;
  readonly data_centre: string;
  readonly state: string;
  readonly revision: number;
  readonly platform_reachable: boolean;
  readonly hosts: readonly HostLine[];
  readonly data_centres: readonly CentreLine[];
  readonly servers: readonly ServerLine[];
  /** Books held here. */
  readonly books: readonly string[];
}
