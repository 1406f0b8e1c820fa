import {GenerationFormat} from '../backend/index.js';
import {Generation} from '../generation/index.js';

const MS_PER_SECOND = 1000;

/** Fields common to all chunks, and to the whole completion, of one generation. */
export interface CompletionHead {
  readonly id: string;
  readonly created: number;
  /** Model name to report to the caller. */
  readonly model: string;
  readonly format: GenerationFormat;
}

/** Creates the common fields of the response to a generation request. */
export function createHead(
  generation: Generation,
  model: string,
  now: Date,
): CompletionHead {
  return {
    id: generation.request.id,
    created: Math.floor(now.getTime() / MS_PER_SECOND),
    model,
    format: generation.request.format,
  };
}

/** Formats a token as a chunk of a streamed completion. */
export function toTokenChunk(head: CompletionHead, text: string): unknown {
  const choice =
    head.format === GenerationFormat.CHAT
      ? {
          index: 0,
          delta: {role: 'assistant', content: text},
          finish_reason: null,
        }
      : {index: 0, text, logprobs: null, finish_reason: null};
  return createChunk(head, choice);
}

/** Formats the end of a generation as a chunk. */
export function toFinishChunk(head: CompletionHead, reason: string): unknown {
  const choice =
    head.format === GenerationFormat.CHAT
      ? {index: 0, delta: {}, finish_reason: reason}
      : {index: 0, text: '', logprobs: null, finish_reason: reason};
  return createChunk(head, choice);
}

/** Formats a whole completion, for callers that do not stream. */
export function toCompletion(
  head: CompletionHead,
  texts: readonly string[],
  reason: string,
  promptTokens: number,
): unknown {
  const text = texts.join('');
  const chat = head.format === GenerationFormat.CHAT;
  return {
    id: head.id,
    object: chat ? 'chat.completion' : 'text_completion',
    created: head.created,
    model: head.model,
    choices: [
      chat
        ? {
            index: 0,
            message: {role: 'assistant', content: text, refusal: null},
            logprobs: null,
            finish_reason: reason,
          }
        : {index: 0, text, logprobs: null, finish_reason: reason},
    ],
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: texts.length,
      total_tokens: promptTokens + texts.length,
    },
  };
}

function createChunk(head: CompletionHead, choice: unknown): unknown {
  const chat = head.format === GenerationFormat.CHAT;
  return {
    id: head.id,
    object: chat ? 'chat.completion.chunk' : 'text_completion',
    created: head.created,
    model: head.model,
    choices: [choice],
  };
}
