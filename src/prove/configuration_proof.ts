import {
  ConfigurationSchedule,
  configurationSchedules,
} from './configuration_schedule.js';
import {ConfigurationSimulation} from './configuration_simulation.js';
import {Proof} from './proof.js';

/**
 * A change that is reported in force in a data centre is in force on all its
 * serving hosts, all running hosts converge, and none returns to a lower revision.
 */
export const configurationHolds: Proof<ConfigurationSchedule> = {
  name: 'configuration-holds',
  variant: 'applies a lower revision',
  schedules: configurationSchedules,
  run: (schedule, broken) => new ConfigurationSimulation(broken).run(schedule),
};
