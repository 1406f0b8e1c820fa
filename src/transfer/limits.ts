/**
 * Length from which the text of a row is sent compressed or as a difference, in UTF-16
 * code units. Shorter texts cost less than the additional fields.
 */
export const LONG_TEXT_LENGTH = 4096;
/**
 * Largest decompressed text accepted, in bytes: a row of the platform's table has 4 MiB
 * at most, and the list of parts of a difference may be somewhat larger than the text.
 */
export const MAX_TEXT_BYTES = 8_388_608;
/** Largest encoded text accepted, in bytes: compression never doubles a text. */
export const MAX_CONTENT_BYTES = 8_388_608;
/**
 * Bytes of a content in one message: 26 ms at 10 Mbit/s, for which a heartbeat on the
 * same connection waits at most.
 */
export const SEGMENT_BYTES = 32_768;
