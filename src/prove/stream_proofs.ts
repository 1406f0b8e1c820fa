import {Proof} from './proof.js';
import {createStreamSchedules, StreamSchedule} from './stream_schedule.js';
import {StreamWorld} from './stream_world.js';

/** Each caller gets its own stream, with no token missing, doubled or crossed. */
export const wholeStreams: Proof<StreamSchedule> = {
  name: 'whole-streams',
  variant: 'passes tokens on without a look at whose they are',
  schedules: createStreamSchedules(false),
  run: (schedule, broken) =>
    new StreamWorld(broken ? {checksNothing: true} : {}, false).run(schedule),
};

/** A running generation survives every announced reclaim of its server. */
export const reclaimCutsNothing: Proof<StreamSchedule> = {
  name: 'reclaim-cuts-nothing',
  variant: 'ends the stream of a server that goes',
  schedules: createStreamSchedules(true),
  run: (schedule, broken) =>
    new StreamWorld(broken ? {givesUp: true} : {}, true).run(schedule),
};
