import {performance} from 'node:perf_hooks';
import {Container} from 'inversify';
import {bind} from '../container/index.js';
import {Feature, Features} from '../features/index.js';
import {afterPoll, HostLoad} from '../host_load/index.js';
import {Metrics} from '../metrics/index.js';
import {CLOCK, GET_SETTINGS, LOG, RANDOM} from './identifiers.js';

const US_PER_MS = 1000;
/** Capacity below which a burst of requests can use up a host's processor, in cores. */
const SMALL_HOST_CORES = 1;

/** Binds the measurement of this host's own load. */
export function bindHostLoad(container: Container): void {
  bind(container, HostLoad, context => {
    const features = context.get(Features);
    const getSettings = context.get(GET_SETTINGS);
    return new HostLoad({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      metrics: context.get(Metrics),
      random: context.get(RANDOM),
      isEnabled: () =>
        getSettings().capacity < SMALL_HOST_CORES ||
        features.isEnabled(Feature.HOST_OVERLOAD),
      refusesByLoad: () => features.isEnabled(Feature.HOST_OVERLOAD),
      afterPoll,
      readIdleMs: () => performance.eventLoopUtilization().idle,
      readUsedMs: () => {
        const {user, system} = process.cpuUsage();
        return (user + system) / US_PER_MS;
      },
      getCores: () => getSettings().capacity,
    });
  });
}
