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
 * Streams a generation as server-sent events. The event of each token has the id
 * "ID/POSITION"; a caller sends it as Last-Event-ID to resume after that token.
 * @param response - The response.
 * @param head - Fields common to all chunks.
 * @param events - Events from the requested position on.
 * @returns The problem that the generation failed with, or `undefined`.
 */
export async function streamGeneration(
  response: Response,
  head: CompletionHead,
  events: AsyncIterable<GenerationEvent>,
): Promise<Problem | undefined> {
  let headSent = false;
  for await (const event of events) {
    if (event.kind === 'failed' && !headSent) {
      // Nothing has been sent yet, so the status code can report the problem.
      sendProblem(response, event.problem, head.id);
      return event.problem;
    }
    if (!headSent) {
      sendHead(response, head);
      headSent = true;
    }
    if (event.kind === 'token') {
      const data = JSON.stringify(toTokenChunk(head, event.text));
      await writeEvent(
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

function sendHead(response: Response, head: CompletionHead): void {
  response.status(200);
  response.setHeader('Content-Type', 'text/event-stream; charset=utf-8');
  response.setHeader('Cache-Control', 'no-store');
  response.setHeader(REQUEST_ID_HEADER, head.id);
  response.flushHeaders();
}

async function writeEvent(response: Response, text: string): Promise<void> {
  if (!response.write(text) && !response.destroyed) {
    const closed = new AbortController();
    const onClose = () => closed.abort();
    response.once('close', onClose);
    await once(response, 'drain', {signal: closed.signal}).catch(
      () => undefined,
    );
    response.off('close', onClose);
  }
}
