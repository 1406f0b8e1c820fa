import {z} from 'zod';

/** How a faulty part answers. */
export const Fault = {
  NONE: 'none',
  /** Refuses every request with status 503 before doing anything. */
  DOWN: 'down',
  /** Answers after a delay. */
  SLOW: 'slow',
  /** Does what is asked, then closes the connection without answering. */
  ANSWER_LOST: 'answer-lost',
  /** Reads the request, does nothing and never answers. */
  SILENT: 'silent',
} as const;
export type Fault = (typeof Fault)[keyof typeof Fault];

/** Faults of the fake platform, switchable while it runs. */
export const platformFaultSchema = z
  .object({
    table: z.enum(Object.values(Fault)).default(Fault.NONE),
    objects: z.enum(Object.values(Fault)).default(Fault.NONE),
    hostList: z.enum(Object.values(Fault)).default(Fault.NONE),
    /** Delay of `slow`, in milliseconds. */
    slowMs: z.number().min(0).default(500),
    /** Age of the published host list, in milliseconds. */
    hostListLagMs: z.number().min(0).default(0),
    /** Whether the cloud refuses to start hosts. */
    refuseStarts: z.boolean().default(false),
  })
  .strict();
export type PlatformFault = z.infer<typeof platformFaultSchema>;

/** Faults of a fake back end, switchable while it runs. */
export const backendFaultSchema = z
  .object({
    requests: z.enum(Object.values(Fault)).default(Fault.NONE),
    /** Delay of `slow`, in milliseconds. */
    slowMs: z.number().min(0).default(500),
    /** Tokens after which each stream breaks off; 0 for never. */
    breakAfterTokens: z.number().int().min(0).default(0),
    /** Whether streams go silent instead of breaking off. */
    breakSilently: z.boolean().default(false),
    /** Whether answers carry another request's id. */
    crossAnswers: z.boolean().default(false),
    /** Whether orders with an old fencing number are refused. */
    checkFence: z.boolean().default(true),
  })
  .strict();
export type BackendFault = z.infer<typeof backendFaultSchema>;
