import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Clock} from '../time/index.js';
import {Compression, ZLIB_COMPRESSION} from './compression.js';
import {FetchProgress} from './fetch_progress.js';
import {IncomingRows} from './incoming_rows.js';
import {OutgoingRows} from './outgoing_rows.js';
import {RequestPeer} from './request_peer.js';
import {RetainedTexts} from './retained_texts.js';

/** Dependencies of the transfer of large rows. */
export interface BulkTransferOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Progress of the fetches of this host, from the store as well. */
  readonly progress: FetchProgress;
  /** Returns whether large rows are transferred in this way. */
  readonly isEnabled: () => boolean;
  /** Returns the speed of this host's link in Mbit/s; `undefined` if unknown. */
  readonly getLinkMbps: () => number | undefined;
  readonly requestPeer: RequestPeer;
  /** By default, `ZLIB_COMPRESSION`. */
  readonly compression?: Compression;
}

/** Transfers large rows between hosts compressed, as differences and in segments. */
export class BulkTransfer {
  readonly outgoing: OutgoingRows;
  readonly incoming: IncomingRows;
  readonly progress: FetchProgress;
  readonly isEnabled: () => boolean;

  constructor(options: BulkTransferOptions) {
    const texts = new RetainedTexts(options.clock);
    const {compression = ZLIB_COMPRESSION} = options;
    this.outgoing = new OutgoingRows({...options, texts, compression});
    this.incoming = new IncomingRows({...options, texts, compression});
    this.progress = options.progress;
    this.isEnabled = options.isEnabled;
  }
}
