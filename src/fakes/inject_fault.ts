import {Request, RequestHandler, Response} from 'express';
import {Clock} from '../time/index.js';
import {Fault} from './fault_settings.js';

/** The fault to inject into a request. */
export interface FaultState {
  readonly fault: Fault;
  /** Delay of the fault `slow`, in milliseconds. */
  readonly slowMs: number;
}

/**
 * Wraps a request handler so that the current fault is injected into each request.
 * @param clock - Clock for delays.
 * @param getFaultState - Returns the current fault.
 * @param handle - Handles a request without faults; it writes the response.
 */
export function injectFault(
  clock: Clock,
  getFaultState: () => FaultState,
  handle: (request: Request, response: Response) => Promise<void>,
): RequestHandler {
  return async (request, response) => {
    const {fault, slowMs} = getFaultState();
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
      // The handler runs, but its response closes the connection instead of being sent.
      request.socket.on('error', () => undefined);
      response.end = (() => {
        request.socket.destroy();
        return response;
      }) as typeof response.end;
    }
    await handle(request, response);
  };
}
