import {performance} from 'node:perf_hooks';
import {Container} from 'inversify';
import {bind} from '../container/index.js';
import {Feature, Features} from '../features/index.js';
import {afterPoll, HostLoad} from '../host_load/index.js';
import {Fleet} from '../fleet/index.js';
import {HostReports} from '../peering/index.js';
import {Metrics} from '../metrics/index.js';
import {CLOCK, GET_SETTINGS, LOG, RANDOM} from './identifiers.js';

const US_PER_MS = 1000;

/** Binds the measurement of this host's own load. */
export function bindHostLoad(container: Container): void {
  bind(container, HostLoad, context => {
    const features = context.get(Features);
    const getSettings = context.get(GET_SETTINGS);
    const fleet = context.get(Fleet);
    const reports = context.get(HostReports);
    return new HostLoad({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      metrics: context.get(Metrics),
      random: context.get(RANDOM),
      refusesByLoad: () => features.isEnabled(Feature.HOST_OVERLOAD),
      afterPoll,
      readIdleMs: () => performance.eventLoopUtilization().idle,
      readUsedMs: () => {
        const {user, system} = process.cpuUsage();
        return (user + system) / US_PER_MS;
      },
      getCores: () => getSettings().capacity,
      countInFlight: () => fleet.countAllInFlight(),
      getMeanPeerLoad: () => {
        const hosts = reports.countRecent();
        return hosts === 0
          ? undefined
          : reports.sumInFlight(() => true) / hosts;
      },
    });
  });
}
