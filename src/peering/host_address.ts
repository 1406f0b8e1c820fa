import {z} from 'zod';

const name = z.string().min(1).max(200);

/** Address at which peers reach an entry host. */
export const hostAddressSchema = z.object({
  host: name,
  dataCentre: name,
  /** IP address and port. */
  address: name,
  /**
   * IP address and port at which it takes forwarded requests; omitted by hosts of the
   * previous release.
   */
  forwardingAddress: name.optional(),
  /** Processor capacity of the host, in cores; omitted if unknown. */
  capacity: z.number().min(0).optional(),
});

/** Address at which peers reach an entry host. */
export type HostAddress = z.output<typeof hostAddressSchema>;
