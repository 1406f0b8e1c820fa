import {z} from 'zod';
import {suspectNewsSchema} from '../quarantine/index.js';

/** Whether an entry host takes new work. */
export const EntryHostState = {LIVE: 'live', LEAVING: 'leaving'} as const;
export type EntryHostState =
  (typeof EntryHostState)[keyof typeof EntryHostState];

const MAX_LISTED = 4096;
const name = z.string().min(1).max(128);
const age = z.number().min(0);
const state = z.enum(Object.values(EntryHostState));

/** Another entry host of the sender's data centre that lives. */
export const heardHostSchema = z.object({
  host: name,
  dataCentre: name,
  address: z.string(),
  incarnation: name,
  state,
});

/** A host of either role that is known to be leaving. */
export const leavingHostSchema = z.object({
  host: name,
  /** Time since it was first known to be leaving, in milliseconds. */
  ageMs: age,
  /** Time until the platform takes it back, in ms; absent when not announced. */
  remainingMs: z.number().optional(),
});

/** What of an engine's load report changes rarely. */
export const engineFactsSchema = z.object({
  server: name,
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

/**
 * What of an engine's load report changes all the time: name of the server,
 * age of the report in milliseconds, generations running, and waiting. A tuple,
 * as most bytes of control traffic are these.
 */
export const engineLoadSchema = z.tuple([
  name,
  age,
  z.number().min(0),
  z.number().min(0),
]);

/** What changes rarely; sent when it has changed, and now and then. */
export const hostDetailSchema = z.object({
  /** IP number and port for peers. */
  address: z.string(),
  /** Books it holds: name and fence. */
  books: z.array(z.tuple([z.string(), z.number().int()])).max(MAX_LISTED),
  hosts: z.array(heardHostSchema).max(MAX_LISTED),
  leaving: z.array(leavingHostSchema).max(MAX_LISTED),
  engines: z.array(engineFactsSchema).max(MAX_LISTED),
});

/**
 * What a host tells its peers in each heartbeat. Who it is, the handshake of
 * the connection has shown.
 */
export const heartbeatSchema = z.object({
  state,
  /** Configuration revision in force there. */
  revision: z.number().int().min(0),
  /** Lowest revision in force on the live hosts of its data centre. */
  centreRevision: z.number().int().min(0),
  /** Engines polled by the sender. */
  loads: z.array(engineLoadSchema).max(MAX_LISTED),
  /** Requests in flight per customer, those of the sender only. */
  usage: z.array(z.tuple([z.string(), z.number()])).max(MAX_LISTED),
  /** Rises when the detail changes. */
  detailVersion: z.number().int().min(0),
  /** Present unless the receiver has said that it has this version. */
  detail: hostDetailSchema.optional(),
  /** Requests that end servers; left out while there is none. */
  suspects: suspectNewsSchema.optional(),
});

/** What a host tells its peers in each heartbeat. */
export type Heartbeat = z.output<typeof heartbeatSchema>;

/** A heartbeat and the host it came from. */
export interface HostStatus extends Heartbeat {
  readonly host: string;
  readonly dataCentre: string;
  readonly incarnation: string;
}

export type HostDetail = z.output<typeof hostDetailSchema>;
export type HeardHost = z.output<typeof heardHostSchema>;
export type LeavingHost = z.output<typeof leavingHostSchema>;
export type EngineFacts = z.output<typeof engineFactsSchema>;
export type EngineLoad = z.output<typeof engineLoadSchema>;
