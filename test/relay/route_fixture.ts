import {Repeat, Route} from '../../src/catalog/index.js';

/** Creates a route of plain requests that may run once. */
export function createRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'h',
    prefix: '/',
    repeat: Repeat.ONCE,
    streaming: false,
    timeoutMs: 2000,
    targetMs: 300,
    gapTargetMs: 300,
    urgency: 0,
    maxAttempts: 2,
    isPublic: true,
    split: [],
    ...overrides,
  };
}
