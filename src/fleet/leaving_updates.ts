import {z} from 'zod';

/** Maximum number of servers in one message; the next message carries the rest. */
export const MAX_SERVERS_PER_MESSAGE = 200;
/** Maximum length of the id of a server incarnation: entry name and start time. */
const MAX_ID_LENGTH = 300;
const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/** Servers known to leave that hosts exchange in heartbeats and in replies to them. */
export const leavingUpdatesSchema = z.object({
  /** The sender's version up to which these updates are complete. */
  version: count,
  /** The last version of the receiver that the sender has received. */
  heard: count,
  /** Incarnations that have stated in an answer that they leave. */
  servers: z
    .array(z.string().min(1).max(MAX_ID_LENGTH))
    .max(MAX_SERVERS_PER_MESSAGE),
});
