import {SentRequest} from './history.js';

const OK = 200;

/** An event of a stream as its caller got it. */
export interface ReceivedEvent {
  /** The event without the version of its writer. */
  readonly text: string;
  /** Version of the software that wrote it; empty if the event names none. */
  readonly version: string;
}

/** Lists the whole events of an answer; the last one may be cut off. */
export function listEvents({
  status,
  answer,
}: Pick<SentRequest, 'status' | 'answer'>): ReceivedEvent[] {
  if (status !== OK) {
    return [];
  }
  const events = answer.split('\n\n').slice(0, -1);
  return events.map(event => {
    const [text = '', version = ''] = event.split('@');
    return {text, version};
  });
}
