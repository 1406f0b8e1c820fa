import {ExchangeAnswer} from './exchange.js';
import {RawHeader} from './relay_request.js';

/** An answer that was read completely. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: readonly RawHeader[];
  readonly body: Buffer;
}

/**
 * Reads an answer completely.
 * @param answer - The answer.
 * @param maxBytes - Longest body, in bytes.
 * @throws Error - If the answer breaks off or its body is longer.
 */
export async function readAnswer(
  answer: ExchangeAnswer,
  maxBytes: number,
): Promise<BufferedAnswer> {
  const pieces: Uint8Array[] = [];
  let length = 0;
  for await (const piece of answer.body) {
    pieces.push(piece);
    length += piece.length;
    if (length > maxBytes) {
      throw new Error(`error response body longer than ${maxBytes} bytes`);
    }
  }
  const {status, headers} = answer;
  return {status, headers, body: Buffer.concat(pieces)};
}
