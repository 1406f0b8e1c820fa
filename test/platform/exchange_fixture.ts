import {FleetState} from '../../src/fleet/index.js';
import {ExchangeParams} from '../../src/relay/index.js';
import {createRoute} from '../relay/route_fixture.js';

/** Creates the parameters for sending a small request to a fake server. */
export function createExchangeParams(
  id: string,
  address: string,
  overrides: Partial<ExchangeParams['request']> = {},
): ExchangeParams {
  return {
    request: {
      id,
      method: 'POST',
      path: '/',
      headers: [['Request-Id', id]],
      body: Buffer.from('body'),
      route: createRoute(),
      prompt: {parts: [], tokensIn: 0, tokensOut: 0},
      arrivedMs: 0,
      deadlineMs: 1000,
      ...overrides,
    },
    server: {
      id: 'i-1',
      name: 'i-1',
      startedMs: 0,
      service: 's',
      address,
      dataCentre: 'here',
      slots: 1,
      state: FleetState.READY,
      reclaimable: false,
    },
    remainingMs: 987.6,
    urgency: 0,
    maySend: () => true,
  };
}
