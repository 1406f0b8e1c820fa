import {z} from 'zod';
import {Deployment, Repeat, TargetKind} from './deployment.js';
import {nameSchema} from './name_schema.js';

const LEAST_URGENT = 7;
const DEFAULT_URGENCY = 3;
const DEFAULT_FIRST_TOKEN_MS = 310;
const DEFAULT_BETWEEN_TOKENS_MS = 72;

/** Urgency that each named priority of version 1 stands for. */
export const PRIORITY_URGENCY = {high: 1, normal: 3, low: 6} as const;

const names = z.array(nameSchema).default([]);

/** Version 1: flat, with named priorities and "model@version". */
export const deploymentSchemaV1 = z.looseObject({
  schemaVersion: z.literal(1),
  kind: z.literal('deployment'),
  name: nameSchema,
  model: z
    .string()
    .regex(/^[^@\s]+@[^@\s]+$/, 'must be NAME@VERSION')
    .optional(),
  adapters: names,
  service: nameSchema.optional(),
  repeat: z.enum(Object.values(Repeat)).default(Repeat.NEVER),
  priority: z.enum(['high', 'normal', 'low']).default('normal'),
  customers: names,
  dataCentres: names,
  servers: names,
  /** Members of later versions, kept for them. */
  extensions: z.record(z.string(), z.unknown()).optional(),
});

const modelTarget = z.looseObject({
  kind: z.literal(TargetKind.MODEL),
  model: z.string().min(1),
  version: z.string().min(1),
  adapters: names,
});

const serviceTarget = z.looseObject({
  kind: z.literal(TargetKind.SERVICE),
  service: nameSchema,
  repeat: z.enum(Object.values(Repeat)).default(Repeat.NEVER),
  answersLookups: z.boolean().default(false),
});

/** Version 2: nested target, numeric urgency, latency target and weights. */
export const deploymentSchemaV2 = z.looseObject({
  schemaVersion: z.literal(2),
  kind: z.literal('deployment'),
  name: nameSchema,
  target: z.discriminatedUnion('kind', [modelTarget, serviceTarget]),
  customers: names,
  dataCentres: names,
  servers: names,
  urgency: z.number().int().min(0).max(LEAST_URGENT).default(DEFAULT_URGENCY),
  latencyTarget: z
    .object({
      firstTokenMs: z.number().positive().default(DEFAULT_FIRST_TOKEN_MS),
      betweenTokensMs: z.number().positive().default(DEFAULT_BETWEEN_TOKENS_MS),
    })
    .prefault({}),
  weights: z
    .object({
      recomputedToken: z.number().min(0).default(1),
      lateSecond: z.number().min(0).default(1),
    })
    .prefault({}),
  replicas: z.number().int().min(1).default(1),
});

/** Shape of a valid version 1 document. */
export type DeploymentV1 = z.output<typeof deploymentSchemaV1>;
/** Shape of a valid version 2 document. */
export type DeploymentV2 = z.output<typeof deploymentSchemaV2>;

/** Reads the members the system uses out of a version 2 document. */
export function toDeployment(document: DeploymentV2): Deployment {
  return {
    name: document.name,
    target: document.target,
    customers: document.customers,
    dataCentres: document.dataCentres,
    servers: document.servers,
    urgency: document.urgency,
    latencyTarget: document.latencyTarget,
    weights: document.weights,
    replicas: document.replicas,
  };
}
