import {randomBytes} from 'node:crypto';
import {Settings} from '../settings/index.js';

/** Identity of this process among the entry hosts. */
export interface Self {
  readonly host: string;
  readonly dataCentre: string;
  /** Id of this run of the process; differs for every start. */
  readonly incarnation: string;
  /** IP address and port at which peers can connect. */
  readonly address: string;
}

const RANDOM_BYTES = 4;
const RADIX = 36;

/**
 * Creates the identity of this run of the process.
 * @param settings - Settings of the process.
 * @param now - Wall-clock time; the incarnation begins with it, so that a reader
 *   can see the order of incarnations.
 */
export function createSelf(settings: Settings, now: Date): Self {
  const time = Math.floor(now.getTime() / 1000).toString(RADIX);
  const random = randomBytes(RANDOM_BYTES).readUInt32BE(0).toString(RADIX);
  return {
    host: settings.host.name,
    dataCentre: settings.host.data_centre,
    incarnation: `${time}${random}`,
    address: settings.peers.advertised ?? settings.peers.address,
  };
}
