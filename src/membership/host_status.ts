import {z} from 'zod';

/** Whether an entry host takes new work. */
export const EntryHostState = {LIVE: 'live', LEAVING: 'leaving'} as const;
export type EntryHostState =
  (typeof EntryHostState)[keyof typeof EntryHostState];

const MAX_LISTED = 4096;
const name = z.string().min(1).max(128);
const age = z.number().min(0);
const state = z.enum(Object.values(EntryHostState));

/** Another entry host that the sender has heard of. */
export const heardHostSchema = z.object({
  host: name,
  dataCentre: name,
  address: z.string(),
  incarnation: name,
  state,
  /** Time since it was last heard, in milliseconds. */
  ageMs: age,
});

/** A host of either role that is known to be leaving. */
export const leavingHostSchema = z.object({
  host: name,
  /** Time since it was first known to be leaving, in milliseconds. */
  ageMs: age,
  /** Time until the platform takes it back, in ms; absent when not announced. */
  remainingMs: z.number().optional(),
});

/** Load of one backend server, polled by the sender. */
export const heardLoadSchema = z.object({
  server: name,
  ageMs: age,
  running: z.number().min(0),
  waiting: z.number().min(0),
  capacity: z.number().min(0),
  prefillRate: z.number().positive(),
  decodeMs: z.number().min(0),
  models: z
    .array(
      z.object({
        name: z.string(),
        version: z.string(),
        adapters: z.array(z.string()),
      }),
    )
    .max(MAX_LISTED),
});

/** Room that a data centre has for one deployment. */
export const headroomSchema = z.object({
  dataCentre: name,
  deployment: name,
  /** Generations it could take at once. */
  free: z.number(),
  /** Predicted wait of one more request, in milliseconds. */
  waitMs: z.number().min(0),
  ageMs: age,
});

/** What a host tells its peers in each heartbeat. */
export const hostStatusSchema = z.object({
  host: name,
  dataCentre: name,
  incarnation: name,
  /** IP number and port for peers. */
  address: z.string(),
  state,
  /** Configuration revision in force there. */
  revision: z.number().int().min(0),
  /** Lowest revision in force on the live hosts of its data centre. */
  centreRevision: z.number().int().min(0),
  /** Books it holds: name and fence. */
  books: z.array(z.tuple([z.string(), z.number().int()])).max(MAX_LISTED),
  hosts: z.array(heardHostSchema).max(MAX_LISTED),
  leaving: z.array(leavingHostSchema).max(MAX_LISTED),
  loads: z.array(heardLoadSchema).max(MAX_LISTED),
  headroom: z.array(headroomSchema).max(MAX_LISTED),
  /** Requests in flight per customer, those of the sender only. */
  usage: z.array(z.tuple([z.string(), z.number()])).max(MAX_LISTED),
});

/** What a host tells its peers in each heartbeat. */
export type HostStatus = z.output<typeof hostStatusSchema>;
export type HeardHost = z.output<typeof heardHostSchema>;
export type LeavingHost = z.output<typeof leavingHostSchema>;
export type HeardLoad = z.output<typeof heardLoadSchema>;
export type Headroom = z.output<typeof headroomSchema>;
