/** Accepts the connections of callers. */
export interface CallerListener {
  /** Starts to accept connections. */
  listen(host: string, port: number): Promise<void>;
  /** Returns the number of connections on which a request is being read or answered. */
  countBusyConnections(): number;
  /** Closes each connection after its next answer, so that callers leave this host. */
  startDraining(): void;
  /** Accepts no more connections and closes the idle ones. */
  stopListening(): void;
  /** Stops listening and closes all connections. */
  stop(): void;
}
