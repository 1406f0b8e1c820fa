import {z} from 'zod';

const name = z.string().min(1).max(200);

/** Where an entry host can be reached by peers. */
export const hostAddressSchema = z.object({
  host: name,
  dataCentre: name,
  /** IP number and port. */
  address: name,
  /** Processor share that it has, in cores; left out where it is not known. */
  capacity: z.number().min(0).optional(),
});

/** Where an entry host can be reached by peers. */
export type HostAddress = z.output<typeof hostAddressSchema>;
