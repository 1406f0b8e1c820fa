import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {Express} from 'express';

/** A listening HTTP server. */
export interface ServedApp {
  /** Port that the server listens on. */
  readonly port: number;
  /** Stops listening and closes every connection. */
  stop(): Promise<void>;
}

/**
 * Serves an express app on the loopback address.
 * @param app - The app to serve.
 * @param port - Port to listen on; 0 for any free port.
 */
export async function serveApp(app: Express, port: number): Promise<ServedApp> {
  const server: Server = createServer(app);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    stop: () =>
      new Promise<void>(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
