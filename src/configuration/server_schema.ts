import {z} from 'zod';
import {nameSchema} from './name_schema.js';
import {ServerKind} from './server.js';

/** Schema of server records, the same in versions 1 and 2. */
export const serverSchema = z
  .looseObject({
    schemaVersion: z.union([z.literal(1), z.literal(2)]),
    kind: z.literal('server'),
    name: nameSchema,
    runs: z.enum(Object.values(ServerKind)),
    dataCentre: nameSchema,
    zone: nameSchema.default('default'),
    machineClass: nameSchema.default('standard'),
    address: z
      .string()
      .regex(/^[0-9a-f.:[\]]+:\d+$/i, 'must be IP:PORT, such as 10.0.0.7:8000'),
    service: z.string().default(''),
    checksFence: z.boolean().default(false),
    drained: z.boolean().default(false),
  })
  .refine(
    server => server.runs !== ServerKind.SERVICE || server.service !== '',
    {path: ['service'], message: 'is required when runs is "service"'},
  );

/** Shape of a valid document. */
export type ServerDocument = z.output<typeof serverSchema>;
