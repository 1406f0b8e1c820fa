import {z} from 'zod';
import {GenerationFormat} from '../backend/index.js';
import {Generation} from '../generation/index.js';

const MAX_URGENCY = 7;

/** Schema of a generation that is transferred between hosts. */
export const generationRecordSchema = z.object({
  id: z.string(),
  customer: z.string(),
  deployment: z.string(),
  adapter: z.string(),
  format: z.enum(Object.values(GenerationFormat)),
  body: z.record(z.string(), z.unknown()),
  urgency: z.number().int().min(0).max(MAX_URGENCY),
  /** Time until the deadline, in milliseconds. */
  remainingMs: z.number(),
  /** Texts of the tokens generated so far. */
  texts: z.array(z.string()),
});

/** A generation that is transferred between hosts. */
export type GenerationRecord = z.output<typeof generationRecordSchema>;

/**
 * Converts a generation to a record.
 * @param generation - The generation.
 * @param nowMs - Current monotonic time of this host.
 */
export function toGenerationRecord(
  generation: Generation,
  nowMs: number,
): GenerationRecord {
  const {deadlineMs, body, ...request} = generation.request;
  return {
    ...request,
    body: {...body},
    remainingMs: deadlineMs - nowMs,
    texts: [...generation.getTexts()],
  };
}

/**
 * Restores a generation from a record.
 * @param record - The record.
 * @param nowMs - Current monotonic time of this host.
 */
export function fromGenerationRecord(
  record: GenerationRecord,
  nowMs: number,
): Generation {
  const {remainingMs, texts, ...request} = record;
  return new Generation(
    {...request, deadlineMs: nowMs + remainingMs},
    texts,
    nowMs,
  );
}
