import {Request, RequestHandler, Response} from 'express';
import {Clock} from '../time/index.js';
import {Fault} from './fault_switches.js';

/** What a fault needs to know when a request comes in. */
export interface FaultState {
  readonly fault: Fault;
  readonly slowMs: number;
}

/**
 * Wraps a handler so that a switched fault takes effect around it.
 * @param clock - Used for delays.
 * @param getState - Returns the fault in force now.
 * @param handle - The healthy behaviour: returns status and JSON body.
 */
export function withFault(
  clock: Clock,
  getState: () => FaultState,
  handle: (request: Request, response: Response) => Promise<void>,
): RequestHandler {
  return async (request, response) => {
    const {fault, slowMs} = getState();
    if (fault === Fault.DOWN) {
      request.socket.destroy();
      return;
    }
    if (fault === Fault.SILENT) {
      return;
    }
    if (fault === Fault.SLOW) {
      await clock.sleep(slowMs);
    }
    if (fault === Fault.ANSWER_LOST) {
      // The handler runs against a response that nobody will see.
      request.socket.on('error', () => undefined);
      response.end = (() => {
        request.socket.destroy();
        return response;
      }) as typeof response.end;
    }
    await handle(request, response);
  };
}
