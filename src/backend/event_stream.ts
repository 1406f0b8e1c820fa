/**
 * Decodes a byte stream of server-sent events and yields the data of each event.
 * @param bytes - Received chunks; an event may span several chunks.
 */
export async function* readEventStream(
  bytes: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let buffered = '';
  for await (const chunk of bytes) {
    buffered += decoder.decode(chunk, {stream: true});
    let end = buffered.indexOf('\n\n');
    while (end >= 0) {
      const data = getEventData(buffered.slice(0, end));
      buffered = buffered.slice(end + 2);
      if (data !== undefined) {
        yield data;
      }
      end = buffered.indexOf('\n\n');
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
