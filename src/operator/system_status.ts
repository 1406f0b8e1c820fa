/** An entry host in the system status. */
export interface HostSummary {
  readonly host: string;
  readonly data_centre: string;
  readonly state: string;
  readonly alive: boolean;
  /** Time since its last heartbeat, in milliseconds; null if none was received. */
  readonly heard_ms: number | null;
  /** Revision in force on the host; null if unknown. */
  readonly revision: number | null;
  /** Number of books it holds; null if unknown. */
  readonly books: number | null;
}

/** A data centre in the system status. */
export interface DataCentreSummary {
  readonly data_centre: string;
  /** Number of live entry hosts. */
  readonly hosts: number;
  /** Lowest revision in force on its live hosts; null if none has reported one. */
  readonly revision: number | null;
}

/** A backend server in the system status. */
export interface ServerSummary {
  readonly server: string;
  readonly data_centre: string;
  /** "engine", or the name of the service. */
  readonly runs: string;
  readonly state: 'serving' | 'leaving' | 'ejected' | 'unheard';
  /** Requests of this host in flight on the server. */
  readonly in_flight: number;
  /** Generations running, from its load report; null if unknown. */
  readonly running: number | null;
  /** Generations waiting, from its load report; null if unknown. */
  readonly waiting: number | null;
  /** Generations it can decode at once, from its load report; null if unknown. */
  readonly capacity: number | null;
  /** Models loaded, as "NAME@VERSION". */
  readonly models: readonly string[];
}

/** State of the whole system, as far as one host knows it. */
export interface SystemStatus {
  /** Name of the host that built the status. */
  readonly host: string;
  readonly data_centre: string;
  readonly state: string;
  /** Revision in force on this host. */
  readonly revision: number;
  /** Whether the platform answered the last poll of this host. */
  readonly platform_reachable: boolean;
  readonly hosts: readonly HostSummary[];
  readonly data_centres: readonly DataCentreSummary[];
  readonly servers: readonly ServerSummary[];
  /** Books held by this host. */
  readonly books: readonly string[];
}
