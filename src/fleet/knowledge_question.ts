import {FleetServer} from './fleet_server.js';
import {PromptPart} from './part_memory.js';

/** What of a service's servers is looked at for one request. */
export interface KnowledgeQuestion {
  /** Parts of the prompt; empty for plain requests. */
  readonly parts: readonly PromptPart[];
  /** Rank of the request: what is less urgent is not ahead of it. */
  readonly urgency?: number;
  /** Tells which servers may get the request at all; left out, all may. */
  readonly allows?: ((server: FleetServer) => boolean) | undefined;
  /** Servers that must not get the request again. */
  readonly excluded?: ReadonlySet<string>;
}
