import {DeliveryState, ServerFailure} from '../../src/backend/index.js';
import {
  ConfigurationStore,
  RecordKind,
  Repeat,
} from '../../src/configuration/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {TerminatedServers, Quarantine} from '../../src/quarantine/index.js';
import {VirtualClock} from '../../src/time/index.js';

export const DEPLOYMENT = 'dossier';
const SERVER_COUNT = 10;

/** Servers of one deployment; a test decides which request terminates them. */
export class TerminatingServers {
  readonly clock = new VirtualClock();
  readonly log = new SilentLog();
  readonly configuration = new ConfigurationStore(this.log);
  readonly quarantine = new Quarantine({
    clock: this.clock,
    log: this.log,
    metrics: new Metrics(),
  });
  readonly terminatedServers = new TerminatedServers(
    this.clock,
    async address => this.down.has(address),
  );
  /** Names of the terminated servers, in order; a name may occur more than once. */
  readonly ends: string[] = [];
  /** Addresses at which nothing listens now. */
  readonly down = new Set<string>();

  /** @param runs - What the servers run: a model engine or a plain service. */
  constructor(runs: 'engine' | 'service') {
    const servers = Array.from({length: SERVER_COUNT}, (_unused, index) => ({
      schemaVersion: 2,
      kind: RecordKind.SERVER,
      name: `server-${index}`,
      runs,
      service: runs === 'service' ? 'bids' : '',
      dataCentre: 'tac-hall',
      address: `127.0.0.${index + 1}:1`,
    }));
    const target =
      runs === 'engine'
        ? {kind: 'model', model: 'm', version: '1'}
        : {kind: 'service', service: 'bids', repeat: Repeat.SAFE};
    const deployment = {
      schemaVersion: 2,
      kind: RecordKind.DEPLOYMENT,
      name: DEPLOYMENT,
      target,
    };
    const records = [...servers, deployment].map(document => ({
      kind: document.kind,
      name: document.name,
      revision: 1,
      document,
      changeId: 'test',
    }));
    this.configuration.apply({after: 0, revision: 1, records}, 'test');
  }

  /**
   * Terminates a server that runs a request, without a restart.
   * @returns The failure that the caller of the server receives.
   */
  terminate(name: string, address: string): ServerFailure {
    this.ends.push(name);
    this.down.add(address);
    return new ServerFailure(DeliveryState.SENT, 'the channel ended');
  }
}
