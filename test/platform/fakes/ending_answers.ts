import {
  endConnection,
  formatChunk,
  formatHead,
  ReceivedRequest,
  Script,
} from './fake_server.js';

/** How the end of a server's answer is marked. */
export const AnswerFraming = {
  LENGTH: 'length',
  CHUNKS: 'chunks',
  /** Neither length nor chunks: the answer ends with its connection. */
  CONNECTION: 'connection',
} as const;
export type AnswerFraming = (typeof AnswerFraming)[keyof typeof AnswerFraming];

/** Where an answer of a server ends. */
export const EndPoint = {
  WHOLE: 'whole',
  /** The framing marks the end, but it is inside an event. */
  FRAMED_INSIDE_EVENT: 'framed-inside-event',
  /** After a whole line of an event. */
  INSIDE_EVENT: 'inside-event',
  INSIDE_LINE: 'inside-line',
  BETWEEN_EVENTS: 'between-events',
  BEFORE_FIRST_EVENT: 'before-first-event',
} as const;
export type EndPoint = (typeof EndPoint)[keyof typeof EndPoint];

/** What a server does to the connection after the last byte that it sends. */
export const ConnectionEnd = {CLOSED: 'closed', RESET: 'reset'} as const;
export type ConnectionEnd = (typeof ConnectionEnd)[keyof typeof ConnectionEnd];

/** How a server answers a request for the first time. */
export interface EndingAnswer {
  readonly framing: AnswerFraming;
  readonly endPoint: EndPoint;
  readonly connectionEnd: ConnectionEnd;
}

const EVENT_COUNT = 4;
/** Events that are sent whole before an answer ends early. */
const EVENTS_BEFORE_END = 2;

/** Formats the events of the complete stream after an event id. */
export function formatStream(after = 0, until = EVENT_COUNT): string {
  let text = '';
  for (let id = after + 1; id <= until; id++) {
    text += `id: ${id}\ndata: token ${id}\n\n`;
  }
  return text;
}

/** The events that a caller can have got when an answer ends early. */
const EVENTS_BEFORE_END_TEXT = formatStream(0, EVENTS_BEFORE_END);

/** The complete body of an answer that is no stream. */
export const WHOLE_BODY = 'first half, second half';

/** Returns whether the end of an answer can be told from a complete one. */
export function isDetectable(
  {framing, endPoint, connectionEnd}: EndingAnswer,
  isStream: boolean,
): boolean {
  if (
    framing !== AnswerFraming.CONNECTION ||
    connectionEnd === ConnectionEnd.RESET
  ) {
    return true;
  }
  return (
    endPoint === EndPoint.WHOLE ||
    (isStream && endPoint !== EndPoint.BETWEEN_EVENTS)
  );
}

/** Lists the ways in which an answer can end. */
export function listEndingAnswers(isStream: boolean): EndingAnswer[] {
  const streamOnly: ReadonlySet<EndPoint> = new Set([
    EndPoint.FRAMED_INSIDE_EVENT,
    EndPoint.INSIDE_EVENT,
    EndPoint.BETWEEN_EVENTS,
  ]);
  const listed: EndingAnswer[] = [];
  for (const framing of Object.values(AnswerFraming)) {
    for (const endPoint of Object.values(EndPoint)) {
      for (const connectionEnd of Object.values(ConnectionEnd)) {
        const ending = {framing, endPoint, connectionEnd};
        const isPossible =
          (isStream || !streamOnly.has(endPoint)) &&
          // After its marked end, an answer does not depend on its connection.
          !(isFramedEnd(ending) && connectionEnd === ConnectionEnd.RESET) &&
          !(
            endPoint === EndPoint.FRAMED_INSIDE_EVENT &&
            framing === AnswerFraming.CONNECTION
          );
        if (isPossible && isDetectable(ending, isStream)) {
          listed.push(ending);
        }
      }
    }
  }
  return listed;
}

/** Returns whether the server sends the end of the answer that its framing marks. */
function isFramedEnd({framing, endPoint}: EndingAnswer): boolean {
  return (
    framing !== AnswerFraming.CONNECTION &&
    (endPoint === EndPoint.WHOLE || endPoint === EndPoint.FRAMED_INSIDE_EVENT)
  );
}

/** Returns whether a caller may take the answer for complete. */
export function isWholeAnswer({
  framing,
  endPoint,
  connectionEnd,
}: EndingAnswer): boolean {
  return (
    endPoint === EndPoint.WHOLE &&
    (framing !== AnswerFraming.CONNECTION ||
      connectionEnd === ConnectionEnd.CLOSED)
  );
}

/** Creates a script that answers as described. */
export function answerEnding(ending: EndingAnswer, isStream: boolean): Script {
  return (socket, request) => {
    const after = Number(request.headers.get('last-event-id') ?? 0);
    const whole = isStream ? formatStream(after) : WHOLE_BODY;
    const body = cut(whole, ending.endPoint, isStream);
    socket.write(formatAnswer(ending, request, body, whole), () =>
      endConnection(socket, ending.connectionEnd === ConnectionEnd.RESET),
    );
  };
}

function cut(whole: string, endPoint: EndPoint, isStream: boolean): string {
  if (!isStream) {
    return endPoint === EndPoint.WHOLE
      ? whole
      : whole.slice(0, endPoint === EndPoint.INSIDE_LINE ? 11 : 0);
  }
  const next = EVENTS_BEFORE_END + 1;
  switch (endPoint) {
    case EndPoint.WHOLE:
      return whole;
    case EndPoint.BEFORE_FIRST_EVENT:
      return '';
    case EndPoint.BETWEEN_EVENTS:
      return EVENTS_BEFORE_END_TEXT;
    case EndPoint.INSIDE_LINE:
      return `${EVENTS_BEFORE_END_TEXT}id: ${next}\ndata: tok`;
    default:
      return `${EVENTS_BEFORE_END_TEXT}id: ${next}\ndata: token ${next}\n`;
  }
}

function formatAnswer(
  ending: EndingAnswer,
  request: ReceivedRequest,
  body: string,
  whole: string,
): string {
  const {framing} = ending;
  const isEnded = isFramedEnd(ending);
  const type = 'Content-Type: text/event-stream';
  switch (framing) {
    case AnswerFraming.LENGTH: {
      const length = isEnded ? body.length : whole.length;
      return (
        formatHead(request, 200, [type, `Content-Length: ${length}`]) + body
      );
    }
    case AnswerFraming.CHUNKS: {
      const chunk = body === '' ? '' : formatChunk(body);
      const head = formatHead(request, 200, [
        type,
        'Transfer-Encoding: chunked',
      ]);
      return `${head}${chunk}${isEnded ? '0\r\n\r\n' : ''}`;
    }
    default:
      return formatHead(request, 200, [type]) + body;
  }
}
