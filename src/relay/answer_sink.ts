import {Problem} from '../errors/index.js';
import {RawHeader} from './relay_request.js';

/** Receives an answer: the connection of a caller. */
export interface AnswerSink {
  /** Sends the status and headers of a server's answer. */
  begin(status: number, headers: readonly RawHeader[]): void;
  /** Sends a chunk of the body; resolves when the next one can be sent. */
  write(bytes: Uint8Array): Promise<void>;
  /** Ends a complete answer. */
  end(): void;
  /** Closes the connection so that the answer cannot be taken for a complete one. */
  disconnect(): void;
  /** Answers with a problem document, in place of a server's answer. */
  refuse(problem: Problem): void;
}
