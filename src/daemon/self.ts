import {randomBytes} from 'node:crypto';
import {Settings} from '../settings/index.js';

/** Who this process is among the entry hosts. */
export interface Self {
  readonly host: string;
  readonly dataCentre: string;
  /** Differs for every start of the process. */
  readonly incarnation: string;
  /** IP number and port told to peers. */
  readonly address: string;
}

const RANDOM_BYTES = 4;
const BASE = 36;

/**
 * Makes the identity of this start of the process.
 * @param settings - Settings of the process.
 * @param now - Wall-clock time, which makes incarnations readable in order.
 */
export function createSelf(settings: Settings, now: Date): Self {
  const time = Math.floor(now.getTime() / 1000).toString(BASE);
  const random = randomBytes(RANDOM_BYTES).readUInt32BE(0).toString(BASE);
  return {
    host: settings.host.name,
    dataCentre: settings.host.data_centre,
    incarnation: `${time}${random}`,
    address: settings.peers.advertised ?? settings.peers.address,
  };
}
