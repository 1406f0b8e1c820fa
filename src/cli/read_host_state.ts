import {sendJson} from '../http/index.js';
import {CommandFailure, ExitCode} from './exit_code.js';

const TIMEOUT_MS = 3000;
const OK = 200;

/**
 * Reads the state of a relaying host: its catalog, peers, servers and load.
 * @param address - IP address and port of the host's metrics server.
 * @throws CommandFailure - If the host cannot be reached or reports an error.
 */
export async function readHostState(address: string): Promise<unknown> {
  const answer = await sendJson({
    method: 'GET',
    url: `http://${address}/state`,
    timeoutMs: TIMEOUT_MS,
  });
  if (answer.isErr || answer.value.status !== OK) {
    const detail = answer.isErr
      ? answer.error.detail
      : `status ${answer.value.status}`;
    throw new CommandFailure(
      ExitCode.FAILED,
      `${address}: ${detail}; give the metrics address of a relaying host`,
    );
  }
  return answer.value.body;
}
