/** Puts the parts of the daemon together, by inversify. */
import {Container} from 'inversify';
import {bindCallers} from './bind_callers.js';
import {bindGenerations} from './bind_generations.js';
import {bindJournal} from './bind_journal.js';
import {bindKnowledge} from './bind_knowledge.js';
import {bindOperators} from './bind_operators.js';
import {bindPlacement} from './bind_placement.js';
import {bindPeers} from './bind_peers.js';

export function createContainer(): Container {
  const container = new Container({defaultScope: 'Singleton'});
  bindKnowledge(container);
  bindJournal(container);
  bindGenerations(container);
  bindPeers(container);
  bindCallers(container);
  bindPlacement(container);
  bindOperators(container);
  return container;
}
