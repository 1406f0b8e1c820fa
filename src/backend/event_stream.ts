import {EventSplitter} from '../answer/index.js';

const LINE_END = /\r\n|\r/g;

/**
 * Decodes a byte stream of server-sent events and yields the data of each event.
 * @param bytes - Received chunks; an event may span several chunks.
 * @throws IncompleteAnswer - If an event is too long.
 */
export async function* readEventStream(
  bytes: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const splitter = new EventSplitter();
  for await (const chunk of bytes) {
    const events = splitter.add(chunk).bytes.toString();
    for (const event of events.replace(LINE_END, '\n').split('\n\n')) {
      const data = getEventData(event);
      if (data !== undefined) {
        yield data;
      }
    }
  }
}

function getEventData(event: string): string | undefined {
  const lines: string[] = [];
  for (const line of event.split('\n')) {
    if (line.startsWith('data:')) {
      lines.push(line.slice('data:'.length).trimStart());
    }
  }
  return lines.length === 0 ? undefined : lines.join('\n');
}
