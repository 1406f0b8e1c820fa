import {z} from 'zod';
import {changeUpdatesSchema} from '../changes/index.js';

/** Maximum number of servers in one message; the next message carries the rest. */
export const MAX_SERVERS_PER_MESSAGE = 200;
/** Maximum length of the id of a server incarnation: entry name and start time. */
const MAX_ID_LENGTH = 300;

/** Servers known to leave that hosts exchange in heartbeats and in replies to them. */
export const leavingUpdatesSchema = changeUpdatesSchema.extend({
  /** Incarnations that have stated in an answer that they leave. */
  servers: z
    .array(z.string().min(1).max(MAX_ID_LENGTH))
    .max(MAX_SERVERS_PER_MESSAGE),
});
