import {CancelTimer, Clock} from './clock.js';

/** Clock of the operating system. */
export class SystemClock implements Clock {
  now(): Date {
    return new Date();
  }

  monotonicMs(): number {
    return performance.now();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  startTimer(ms: number, call: () => void): CancelTimer {
    const timer = setTimeout(call, ms);
    return () => clearTimeout(timer);
  }
}
