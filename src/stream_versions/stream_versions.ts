import {Metrics} from '../metrics/index.js';
import {OriginExchange} from './origin_exchange.js';
import {OriginQuestion, OriginReply, Origins} from './origin_messages.js';
import {FoundOrigin, OriginSource, StreamOrigin} from './stream_origin.js';
import {MAX_NAME_LENGTH, StreamOrigins} from './stream_origins.js';
import {VersionHistory} from './version_history.js';

/** Dependencies of `StreamVersions`. */
export interface StreamVersionsOptions {
  readonly origins: StreamOrigins;
  readonly history: VersionHistory;
  readonly exchange: OriginExchange;
  readonly metrics: Metrics;
}

/** Knows at which version each stream began that a caller may take up. */
export class StreamVersions {
  constructor(private readonly options: StreamVersionsOptions) {
    const {metrics, origins} = options;
    metrics.addCounter(
      'resumed_streams',
      'Streams that callers have taken up, by how their version became known',
    );
    metrics.addGauge(
      'stream_origins',
      'Streams whose version this host knows',
      () => origins.count(),
    );
  }

  /**
   * Records that this host has relayed the first event of a stream, and tells other hosts if
   * they cannot conclude its version.
   * @param id - Id of the request.
   * @param origin - Service and version of the server.
   * @param isSplit - Whether its route leads to several services.
   */
  begin(id: string, origin: StreamOrigin, isSplit: boolean): void {
    const {origins, history, exchange} = this.options;
    const stream = {id, ...origin};
    const isAdded = origins.add(stream, true);
    const isConcluded =
      !isSplit && history.getSole(origin.service) !== undefined;
    if (isAdded && !isConcluded) {
      exchange.tell([stream]);
    }
  }

  /**
   * Finds the origin of a stream that a caller takes up. Asks other hosts if this one does not
   * know it.
   * @param id - Id of the request that brought the first event, if the caller names it.
   * @param service - Service that is to serve the stream if its origin is not known.
   */
  async find(id: string | undefined, service: string): Promise<FoundOrigin> {
    // No host keeps a longer id.
    const name = id !== undefined && id.length <= MAX_NAME_LENGTH ? id : '';
    const found =
      this.findLocally(name, service) ?? (await this.ask(name, service));
    this.options.metrics.increment('resumed_streams', {origin: found.source});
    return found;
  }

  /** Adds the streams that another host tells of. */
  receive({streams}: Origins): void {
    for (const [id, service, version] of streams) {
      this.options.origins.add({id, service, version}, false);
    }
  }

  /** Answers the question of another host. */
  async answer(question: OriginQuestion): Promise<OriginReply> {
    const {id, service, asksOthers} = question;
    const found =
      this.findLocally(id, service) ??
      (asksOthers ? await this.ask(id, service, false) : undefined);
    const origin = found?.origin;
    return origin === undefined ? {} : {origin};
  }

  /** Tells other hosts of the streams of a service that now has servers of several versions. */
  tellAll(service: string): void {
    this.options.exchange.tell(this.options.origins.listOwn(service));
  }

  private findLocally(id: string, service: string): FoundOrigin | undefined {
    const origin = this.options.origins.get(id);
    if (origin !== undefined) {
      return {source: OriginSource.KNOWN, origin};
    }
    const version = this.options.history.getSole(service);
    return version === undefined
      ? undefined
      : {source: OriginSource.SOLE, origin: {service, version}};
  }

  private async ask(
    id: string,
    service: string,
    asksOthers?: boolean,
  ): Promise<FoundOrigin> {
    const {exchange} = this.options;
    const origin = await exchange.ask({id, service}, asksOthers);
    return origin === undefined
      ? {source: OriginSource.UNKNOWN}
      : {source: OriginSource.ASKED, origin};
  }
}
