import {z} from 'zod';
import {suspectUpdatesSchema} from '../quarantine/index.js';

/** Whether an entry host accepts new work. */
export const EntryHostState = {LIVE: 'live', LEAVING: 'leaving'} as const;
export type EntryHostState =
  (typeof EntryHostState)[keyof typeof EntryHostState];

const MAX_LISTED = 4096;
const name = z.string().min(1).max(128);
const age = z.number().min(0);
const state = z.enum(Object.values(EntryHostState));

/** Another entry host of the sender's data centre that the sender can reach. */
export const reachableHostSchema = z.object({
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
  /** Time until the platform reclaims it, in ms; absent if not announced. */
  remainingMs: z.number().optional(),
});

/** The part of an engine's load report that rarely changes. */
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
 * The part of an engine's load report that changes all the time: name of the server,
 * age of the report in milliseconds, running and waiting generations. It is a tuple
 * because these entries are most of the bytes of control traffic.
 */
export const engineLoadSchema = z.tuple([
  name,
  age,
  z.number().min(0),
  z.number().min(0),
]);

/**
 * The part of a heartbeat that rarely changes; sent when it has changed, and again from
 * time to time.
 */
export const hostDetailSchema = z.object({
  /** IP address and port for peers. */
  address: z.string(),
  /** Books that the host holds: name and fencing number. */
  books: z.array(z.tuple([z.string(), z.number().int()])).max(MAX_LISTED),
  hosts: z.array(reachableHostSchema).max(MAX_LISTED),
  leaving: z.array(leavingHostSchema).max(MAX_LISTED),
  engines: z.array(engineFactsSchema).max(MAX_LISTED),
});

/**
 * Heartbeat of a host to its peers. The sender is not included: the handshake of the
 * connection identifies it.
 */
export const heartbeatSchema = z.object({
  state,
  /** Configuration revision in force on the sender. */
  revision: z.number().int().min(0),
  /** Lowest revision in force on the live hosts of its data centre. */
  centreRevision: z.number().int().min(0),
  /** Engines polled by the sender. */
  loads: z.array(engineLoadSchema).max(MAX_LISTED),
  /** Requests in flight per customer, on the sender only. */
  usage: z.array(z.tuple([z.string(), z.number()])).max(MAX_LISTED),
  /** Increases when the detail changes. */
  detailVersion: z.number().int().min(0),
  /** Present unless the receiver has acknowledged this version. */
  detail: hostDetailSchema.optional(),
  /** Requests suspected of terminating servers; omitted while there are none. */
  suspects: suspectUpdatesSchema.optional(),
});

/** Heartbeat of a host to its peers. */
export type Heartbeat = z.output<typeof heartbeatSchema>;

/** A heartbeat and the host that sent it. */
export interface HostStatus extends Heartbeat {
  readonly host: string;
  readonly dataCentre: string;
  readonly incarnation: string;
}

export type HostDetail = z.output<typeof hostDetailSchema>;
export type ReachableHost = z.output<typeof reachableHostSchema>;
export type LeavingHost = z.output<typeof leavingHostSchema>;
export type EngineFacts = z.output<typeof engineFactsSchema>;
export type EngineLoad = z.output<typeof engineLoadSchema>;
