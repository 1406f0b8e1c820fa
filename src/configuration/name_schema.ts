import {z} from 'zod';

const MAX_NAME_LENGTH = 63;

/** Schema of record names, which are used in URL paths, row keys and log lines. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]*$/,
    'must be lower-case letters, digits, "-" or "."',
  )
  .max(MAX_NAME_LENGTH);
