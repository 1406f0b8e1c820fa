import {
  ConfigurationSchedule,
  configurationSchedules,
} from './configuration_schedule.js';
import {ConfigurationWorld} from './configuration_world.js';
import {Proof} from './proof.js';

/** Accepted configuration is in force everywhere in time, and never reverts. */
export const configurationHolds: Proof<ConfigurationSchedule> = {
  name: 'configuration-holds',
  variant: 'takes over a lower revision',
  schedules: configurationSchedules,
  run: (schedule, broken) => new ConfigurationWorld(broken).run(schedule),
};
