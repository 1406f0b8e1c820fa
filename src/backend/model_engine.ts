import {Result} from 'true-myth';
import {ServerFailure} from './server_failure.js';

/** Wire formats in which a generation can be asked for. */
export const GenerationFormat = {
  CHAT: 'chat',
  TEXT: 'text',
} as const;
export type GenerationFormat =
  (typeof GenerationFormat)[keyof typeof GenerationFormat];

/** What to generate, as one attempt on one server. */
export interface GenerationOrder {
  readonly requestId: string;
  readonly format: GenerationFormat;
  /** The caller's request body, with the model's own name. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Texts of tokens the caller already has; generation goes on after them. */
  readonly continuation: readonly string[];
  /** Smaller is more urgent, 0 to 7. */
  readonly urgency: number;
}

/** One generated token. */
export interface Token {
  /** Request the engine says it belongs to. */
  readonly requestId: string;
  /** Place in the whole answer, from 0. */
  readonly position: number;
  readonly text: string;
  /** Set on the last token only, such as "stop" or "length". */
  readonly finishReason?: string;
}

/** A model that a server has loaded. */
export interface LoadedModel {
  readonly name: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** Load of an engine, as it published it. */
export interface LoadReport {
  /** Generations being decoded. */
  readonly running: number;
  /** Generations waiting for a place. */
  readonly waiting: number;
  /** Generations it can decode at once. */
  readonly capacity: number;
  /** Prompt tokens per second of prefill. */
  readonly prefillRate: number;
  /** Milliseconds between tokens when running at capacity. */
  readonly decodeMs: number;
  readonly models: readonly LoadedModel[];
}

/** A change in an engine's prefix cache; these come late and with gaps. */
export interface CacheEvent {
  /** Rises by one per event of this server; a jump shows a gap. */
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  /** Chained hash of the prefix block; see `hashPrefixBlocks`. */
  readonly block: number;
}

/** A KV cache that an engine has exported. */
export interface CacheExport {
  /** Where another engine can import it from. */
  readonly handle: string;
  /** Tokens it covers. */
  readonly tokens: number;
}

/** Kinds of order to an engine. */
export const EngineOrderKind = {
  LOAD_MODEL: 'load-model',
  UNLOAD_MODEL: 'unload-model',
  LOAD_ADAPTER: 'load-adapter',
  SET_ROLE: 'set-role',
} as const;
export type EngineOrderKind =
  (typeof EngineOrderKind)[keyof typeof EngineOrderKind];

/** An order to change what an engine serves. */
export interface EngineOrder {
  readonly kind: EngineOrderKind;
  /** Fencing number of the lease under which it is given. */
  readonly fence: number;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly role?: string;
}

/** A model engine on a backend server. */
export interface ModelEngine {
  /**
   * Streams the tokens of a generation.
   * @throws ServerFailure - When the stream cannot begin or breaks off.
   */
  generate(order: GenerationOrder, signal: AbortSignal): AsyncIterable<Token>;
  getLoad(): Promise<Result<LoadReport, ServerFailure>>;
  /** Reads the cache events after a sequence number. */
  listCacheEvents(
    after: number,
  ): Promise<Result<readonly CacheEvent[], ServerFailure>>;
  /** Stops a running generation and exports its KV cache. */
  exportCache(requestId: string): Promise<Result<CacheExport, ServerFailure>>;
  /** Imports a KV cache, so that a continuation recomputes nothing it covers. */
  importCache(cache: CacheExport): Promise<Result<void, ServerFailure>>;
  /** Gives an order; it is refused when a higher fence was seen and checked. */
  give(order: EngineOrder): Promise<Result<void, ServerFailure>>;
}
