import {z} from 'zod';
import {changeUpdatesSchema} from '../changes/index.js';

/** Maximum number of limits in one message; the next message carries the rest. */
export const MAX_LIMITS_PER_MESSAGE = 200;
/** Maximum length of the name of a server incarnation: entry name and start time. */
const MAX_NAME_LENGTH = 300;
const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/** One server's limit as a host reports it. */
export const reportedLimitSchema = z.object({
  /** Incarnation of the server. */
  server: z.string().min(1).max(MAX_NAME_LENGTH),
  /** Requests per second; absent if the server no longer states a limit. */
  perSecond: z.number().min(0).optional(),
  /** Increases with each change; the higher revision is the newer. */
  revision: count,
  /** Age of the answer that stated the limit, in milliseconds. */
  ageMs: z.number().min(0),
});

/** Limit updates that hosts exchange in heartbeats and in replies to them. */
export const limitUpdatesSchema = changeUpdatesSchema.extend({
  limits: z.array(reportedLimitSchema).max(MAX_LIMITS_PER_MESSAGE),
});

export type ReportedLimit = z.output<typeof reportedLimitSchema>;
export type LimitUpdates = z.output<typeof limitUpdatesSchema>;
