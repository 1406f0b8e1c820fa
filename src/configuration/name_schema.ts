import {z} from 'zod';

const MAX_NAME = 63;

/** Names of records: they stand in paths, row keys and log lines. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]*$/,
    'must be lower-case letters, digits, "-" or "."',
  )
  .max(MAX_NAME);
