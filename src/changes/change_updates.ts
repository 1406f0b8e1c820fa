import {z} from 'zod';

const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/** What all pages of changes that hosts exchange have in common; see `ChangeMessages`. */
export const changeUpdatesSchema = z.object({
  /** The sender's version up to which these updates are complete. */
  version: count,
  /** The last version of the receiver that the sender has received. */
  heard: count,
});
