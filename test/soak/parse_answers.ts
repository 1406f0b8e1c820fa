import {SentRequest} from './history.js';

/** A whole answer. */
export interface ParsedAnswer {
  readonly fields: Pick<
    SentRequest,
    'answer' | 'retryAfter' | 'signed' | 'status' | 'whole'
  >;
  /** Whether it announces the end of its connection. */
  readonly closes: boolean;
}

const HEAD_END = '\r\n\r\n';

/**
 * Parses the whole answers at the start of what a connection has delivered; one whose end only
 * the end of the connection marks is left out.
 * @param text - The bytes as latin1.
 */
export function parseAnswers(text: string): ParsedAnswer[] {
  const answers: ParsedAnswer[] = [];
  let rest = text;
  for (;;) {
    const end = rest.indexOf(HEAD_END);
    if (end < 0) {
      return answers;
    }
    const head = rest.slice(0, end + 2);
    const body = readBody(head, rest.slice(end + HEAD_END.length));
    if (body === undefined) {
      return answers;
    }
    const retryAfter = findHeader(head, 'retry-after');
    answers.push({
      fields: {
        status: Number(head.split(' ')[1]),
        answer: body.text,
        whole: true,
        signed: findHeader(head, 'server-signature') !== undefined,
        retryAfter: retryAfter === undefined ? undefined : Number(retryAfter),
      },
      closes: findHeader(head, 'connection') === 'close',
    });
    rest = body.rest;
  }
}

function findHeader(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*?)\r$`, 'im').exec(head)?.[1];
}

function readBody(
  head: string,
  bytes: string,
): {text: string; rest: string} | undefined {
  if (findHeader(head, 'transfer-encoding') === 'chunked') {
    return readChunks(bytes);
  }
  const length = Number(findHeader(head, 'content-length') ?? NaN);
  return bytes.length >= length
    ? {text: bytes.slice(0, length), rest: bytes.slice(length)}
    : undefined;
}

function readChunks(bytes: string): {text: string; rest: string} | undefined {
  let text = '';
  let rest = bytes;
  for (;;) {
    const end = rest.indexOf('\r\n');
    const length = Number.parseInt(rest.slice(0, Math.max(0, end)), 16);
    const next = end + 2 + length + 2;
    if (end < 0 || rest.length < next) {
      return undefined;
    }
    text += rest.slice(end + 2, end + 2 + length);
    rest = rest.slice(next);
    if (length === 0) {
      return {text, rest};
    }
  }
}
