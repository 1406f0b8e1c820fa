import {Proof} from './proof.js';
import {createStreamSchedules, StreamSchedule} from './stream_schedule.js';
import {StreamSimulation} from './stream_simulation.js';

/** Each caller receives its own stream: no token missing, duplicated or of another request. */
export const wholeStreams: Proof<StreamSchedule> = {
  name: 'whole-streams',
  variant: 'forwards tokens without checking their request and position',
  schedules: createStreamSchedules(false),
  run: (schedule, broken) =>
    new StreamSimulation(broken ? {skipsTokenCheck: true} : {}, false).run(
      schedule,
    ),
};

/** A running generation completes despite every announced reclaim of its server. */
export const reclaimCutsNothing: Proof<StreamSchedule> = {
  name: 'reclaim-cuts-nothing',
  variant: 'fails the stream when its server is reclaimed',
  schedules: createStreamSchedules(true),
  run: (schedule, broken) =>
    new StreamSimulation(broken ? {disablesRecovery: true} : {}, true).run(
      schedule,
    ),
};
