import {RequestKind} from '../server_model/index.js';
import {FleetServer} from './fleet_server.js';
import {PromptPart} from './part_cache.js';

/**
 * Properties of a request that select and assess the servers of its service.
 */
export interface KnowledgeQuery {
  /** Parts of the prompt; empty for plain requests. */
  readonly parts: readonly PromptPart[];
  /**
   * Rank of the request: less urgent work is not ahead of it. If absent, all
   * work is.
   */
  readonly urgency?: number;
  /**
   * Returns whether a server may get the request at all; if absent, all may.
   */
  readonly allows?: ((server: FleetServer) => boolean) | undefined;
  /**
   * Kind of the request, for its learned times; if absent, these are not used.
   */
  readonly kind?: RequestKind;
  /** Servers that must not get the request again. */
  readonly excluded?: ReadonlySet<string>;
}
