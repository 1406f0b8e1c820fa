/**
 * Returns the prompt of a generation request as one text, for prefix affinity
 * and token estimates. Chat messages are joined, each as "ROLE: CONTENT".
 * @param body - Body of a chat or text completion.
 */
export function getPromptText(body: Readonly<Record<string, unknown>>): string {
  if (typeof body['prompt'] === 'string') {
    return body['prompt'];
  }
  const messages = body['messages'];
  if (!Array.isArray(messages)) {
    return '';
  }
  const parts: string[] = [];
  for (const message of messages as unknown[]) {
    const {role, content} = message as {role?: unknown; content?: unknown};
    parts.push(`${String(role)}: ${readContent(content)}`);
  }
  return parts.join('\n');
}

function readContent(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}
