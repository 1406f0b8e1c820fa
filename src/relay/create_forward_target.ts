import {FleetServer, FleetState} from '../fleet/index.js';

/** Creates the server of an attempt whose server another host chooses. */
export function createForwardTarget(service: string): FleetServer {
  return {
    id: 'another-host',
    name: 'another-host',
    startedMs: 0,
    service,
    address: '',
    dataCentre: '',
    slots: 0,
    state: FleetState.READY,
    reclaimable: false,
  };
}
