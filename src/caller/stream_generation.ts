import {once} from 'node:events';
import {Response} from 'express';
import {Problem, toProblemDocument} from '../errors/index.js';
import {GenerationEvent} from '../generation/index.js';
import {
  CompletionHead,
  toFinishChunk,
  toTokenChunk,
} from './completion_format.js';
import {REQUEST_ID_HEADER, sendProblem} from './send_problem.js';

/**
 * Streams a generation as server-sent events. Each token's event has the id
 * "ID/POSITION", which a caller sends back to resume after it.
 * @param response - Response to stream on.
 * @param head - Head of the answer.
 * @param events - Events from the wanted position on.
 * @returns The problem it ended with, if it did not finish.
 */
export async function streamGeneration(
  response: Response,
  head: CompletionHead,
  events: AsyncIterable<GenerationEvent>,
): Promise<Problem | undefined> {
  let begun = false;
  for await (const event of events) {
    if (event.kind === 'failed' && !begun) {
      // Nothing is sent yet, so the status can still tell.
      sendProblem(response, event.problem, head.id);
      return event.problem;
    }
    if (!begun) {
      begin(response, head);
      begun = true;
    }
    if (event.kind === 'token') {
      const data = JSON.stringify(toTokenChunk(head, event.text));
      await write(
        response,
        `id: ${head.id}/${event.position}\ndata: ${data}\n\n`,
      );
      continue;
    }
    if (event.kind === 'failed') {
      const document = toProblemDocument(event.problem, head.id);
      response.end(`event: error\ndata: ${JSON.stringify(document)}\n\n`);
      return event.problem;
    }
    const data = JSON.stringify(toFinishChunk(head, event.reason));
    response.end(`data: ${data}\n\ndata: [DONE]\n\n`);
    return undefined;
  }
  return undefined;
}

function begin(response: Response, head: CompletionHead): void {
  response.status(200);
  response.setHeader('Content-Type', 'text/event-stream; charset=utf-8');
  response.setHeader('Cache-Control', 'no-store');
  response.setHeader(REQUEST_ID_HEADER, head.id);
  response.flushHeaders();
}

async function write(response: Response, text: string): Promise<void> {
  if (!response.write(text) && !response.destroyed) {
    const closed = new AbortController();
    const stop = () => closed.abort();
    response.once('close', stop);
    await once(response, 'drain', {signal: closed.signal}).catch(
      () => undefined,
    );
    response.off('close', stop);
  }
}
