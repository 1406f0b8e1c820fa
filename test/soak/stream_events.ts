import {RequestKind, SentRequest} from './history.js';

const OK = 200;

/** The streams of a route. */
export interface StreamRoute {
  readonly prefix: string;
  readonly kind: RequestKind;
  readonly eventCount: number;
  readonly intervalMs: number;
  readonly timeoutMs: number;
}

const SHORT_STREAMS: StreamRoute = {
  prefix: '/s/',
  kind: RequestKind.STREAM,
  eventCount: 8,
  intervalMs: 15,
  timeoutMs: 2000,
};
/** Streams that last long enough that a silence begins and ends while they run. */
const LONG_STREAMS: StreamRoute = {
  prefix: '/l/',
  kind: RequestKind.STREAM,
  eventCount: 40,
  intervalMs: 25,
  timeoutMs: 6000,
};
const LONG_STREAMS_ONCE: StreamRoute = {
  ...LONG_STREAMS,
  prefix: '/n/',
  kind: RequestKind.STREAM_ONCE,
};
/** All routes of streams. */
export const STREAM_ROUTES = [
  SHORT_STREAMS,
  LONG_STREAMS,
  LONG_STREAMS_ONCE,
] as const;

/** Returns the route of a path; `undefined` if it has no streams. */
export function findStreamRoute(path: string): StreamRoute | undefined {
  return STREAM_ROUTES.find(({prefix}) => path.startsWith(prefix));
}

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
