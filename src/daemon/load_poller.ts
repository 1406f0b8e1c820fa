import {ServerKind} from '../configuration/index.js';
import {rankByRendezvous} from '../random/index.js';
import {ServerDirectory} from '../routing/index.js';
import {Clock} from '../time/index.js';

/** Dependencies and settings of the load poller. */
export interface LoadPollerOptions {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly host: string;
  readonly dataCentre: string;
  /** Returns the names of the live hosts of this data centre, this one included. */
  readonly listLiveNamesHere: () => readonly string[];
  /** Pause between two polls of a server, in milliseconds. */
  readonly pollMs: number;
}

/** Hosts that poll each server: one suffices, the second covers its failure. */
const POLLERS_PER_SERVER = 2;

/**
 * Polls the engines of this data centre for load and cache events. Rendezvous
 * hashing distributes the engines over the hosts, which exchange the loads in
 * heartbeats.
 */
export class LoadPoller {
  constructor(private readonly options: LoadPollerOptions) {}

  /** Polls the assigned engines periodically until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const polls = this.listAssignedServers().map(server => this.poll(server));
      await Promise.all(polls);
      await this.options.clock.sleep(this.options.pollMs, signal);
    }
  }

  /** Returns the names of the engines that this host has to poll. */
  listAssignedServers(): string[] {
    const {directory, dataCentre, host} = this.options;
    const hosts = this.options.listLiveNamesHere();
    const assigned: string[] = [];
    for (const server of directory.listServers()) {
      const isAssigned =
        server.kind === ServerKind.ENGINE &&
        server.dataCentre === dataCentre &&
        rankByRendezvous(server.name, hosts)
          .slice(0, POLLERS_PER_SERVER)
          .includes(host);
      if (isAssigned) {
        assigned.push(server.name);
      }
    }
    return assigned;
  }

  private async poll(server: string): Promise<void> {
    const {directory} = this.options;
    const engine = directory.getEngine(server);
    const load = await engine?.getLoad();
    if (load?.isOk === true) {
      directory.addLoad(server, load.value, 0);
    }
    const prefixes = directory.getPrefixes(server);
    const events = await engine?.listCacheEvents(
      prefixes?.getLastSequence() ?? 0,
    );
    if (events?.isOk === true) {
      prefixes?.addEvents(events.value);
    }
  }
}
