import {z} from 'zod';

/** Faults that can be injected into the handling of a request. */
export const Fault = {
  NONE: 'none',
  /** Closes the connection without executing the request. */
  DOWN: 'down',
  /** Executes the request after a delay. */
  SLOW: 'slow',
  /** Executes the request, then closes the connection without a response. */
  ANSWER_LOST: 'answer-lost',
  /** Accepts the request but neither executes nor answers it. */
  SILENT: 'silent',
} as const;
export type Fault = (typeof Fault)[keyof typeof Fault];

/** Faults of the fake platform; can be changed while it runs. */
export const platformFaultSchema = z
  .object({
    table: z.enum(Object.values(Fault)).default(Fault.NONE),
    objects: z.enum(Object.values(Fault)).default(Fault.NONE),
    hostList: z.enum(Object.values(Fault)).default(Fault.NONE),
    /** Delay of `slow`, in milliseconds. */
    slowMs: z.number().min(0).default(500),
    /** Delay with which changes of the host list are published, in milliseconds. */
    hostListLagMs: z.number().min(0).default(0),
    /** Whether the cloud rejects requests to start instances. */
    refuseStarts: z.boolean().default(false),
  })
  .strict();
export type PlatformFault = z.infer<typeof platformFaultSchema>;

/** Faults of a fake backend server; can be changed while it runs. */
export const backendFaultSchema = z
  .object({
    requests: z.enum(Object.values(Fault)).default(Fault.NONE),
    /** Delay of `slow`, in milliseconds. */
    slowMs: z.number().min(0).default(500),
    /** Number of tokens after which each stream is interrupted; 0 for never. */
    breakAfterTokens: z.number().int().min(0).default(0),
    /** Whether an interrupted stream keeps its connection open without sending anything. */
    breakSilently: z.boolean().default(false),
    /** Whether responses carry the id of another request. */
    crossAnswers: z.boolean().default(false),
    /** Whether commands with an outdated fencing token are rejected. */
    checkFence: z.boolean().default(true),
  })
  .strict();
export type BackendFault = z.infer<typeof backendFaultSchema>;
