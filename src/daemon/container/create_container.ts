/** Composition of the daemon with inversify. */
import {Container} from 'inversify';
import {bindCallers} from './bind_callers.js';
import {bindGenerations} from './bind_generations.js';
import {bindJournal} from './bind_journal.js';
import {bindSystemState} from './bind_system_state.js';
import {bindOperators} from './bind_operators.js';
import {bindPlacement} from './bind_placement.js';
import {bindPeers} from './bind_peers.js';

/**
 * Creates the container. The caller has to bind the services in `identifiers.ts`
 * before it resolves the daemon.
 */
export function createContainer(): Container {
  const container = new Container({defaultScope: 'Singleton'});
  bindSystemState(container);
  bindJournal(container);
  bindGenerations(container);
  bindPeers(container);
  bindCallers(container);
  bindPlacement(container);
  bindOperators(container);
  return container;
}
