import {z} from 'zod';
import {Deployment, Repeat, TargetKind} from './deployment.js';
import {nameSchema} from './name_schema.js';

const LEAST_URGENT = 7;
const DEFAULT_URGENCY = 3;
const DEFAULT_FIRST_TOKEN_MS = 310;
const DEFAULT_BETWEEN_TOKENS_MS = 72;

/** Urgency of each named priority of version 1. */
export const PRIORITY_URGENCY = {high: 1, normal: 3, low: 6} as const;

const nameList = z.array(nameSchema).default([]);

/** Version 1: a flat document with named priorities and models as "NAME@VERSION". */
export const deploymentSchemaV1 = z.looseObject({
  schemaVersion: z.literal(1),
  kind: z.literal('deployment'),
  name: nameSchema,
  model: z
    .string()
    .regex(/^[^@\s]+@[^@\s]+$/, 'must be NAME@VERSION')
    .optional(),
  adapters: nameList,
  service: nameSchema.optional(),
  repeat: z.enum(Object.values(Repeat)).default(Repeat.NEVER),
  priority: z.enum(['high', 'normal', 'low']).default('normal'),
  customers: nameList,
  dataCentres: nameList,
  servers: nameList,
  /** Members of later versions, kept so that converting to them loses nothing. */
  extensions: z.record(z.string(), z.unknown()).optional(),
});

const modelTargetSchema = z.looseObject({
  kind: z.literal(TargetKind.MODEL),
  model: z.string().min(1),
  version: z.string().min(1),
  adapters: nameList,
});

const serviceTargetSchema = z.looseObject({
  kind: z.literal(TargetKind.SERVICE),
  service: nameSchema,
  repeat: z.enum(Object.values(Repeat)).default(Repeat.NEVER),
  answersLookups: z.boolean().default(false),
});

/** Version 2: adds a nested target, numeric urgency, latency target, weights and replicas. */
export const deploymentSchemaV2 = z.looseObject({
  schemaVersion: z.literal(2),
  kind: z.literal('deployment'),
  name: nameSchema,
  target: z.discriminatedUnion('kind', [
    modelTargetSchema,
    serviceTargetSchema,
  ]),
  customers: nameList,
  dataCentres: nameList,
  servers: nameList,
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

/** Returns the members of a version 2 document that the system uses. */
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
