import {Result} from 'true-myth';
import {ServerFailure} from './server_failure.js';

/** Wire formats in which a generation can be requested. */
export const GenerationFormat = {
  CHAT: 'chat',
  TEXT: 'text',
} as const;
export type GenerationFormat =
  (typeof GenerationFormat)[keyof typeof GenerationFormat];

/** One attempt at a generation, on one server. */
export interface GenerationAttempt {
  readonly requestId: string;
  readonly format: GenerationFormat;
  /** The caller's request body, with the name of the model as the engine knows it. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Texts of the tokens generated so far; the generation continues after them. */
  readonly continuation: readonly string[];
  /** From 0, the most urgent, to 7. */
  readonly urgency: number;
}

/** One generated token. */
export interface Token {
  /** Id of the request, as reported by the engine. */
  readonly requestId: string;
  /** Index in the whole answer, from 0. */
  readonly position: number;
  readonly text: string;
  /** Set on the last token only, for example "stop" or "length". */
  readonly finishReason?: string;
}

/** A model that a server has loaded. */
export interface LoadedModel {
  readonly name: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** Load of an engine, as reported by the engine. */
export interface LoadReport {
  /** Generations being decoded. */
  readonly running: number;
  /** Generations in the queue. */
  readonly waiting: number;
  /** Generations that it can decode at the same time. */
  readonly capacity: number;
  /** Prefill speed, in prompt tokens per second. */
  readonly prefillRate: number;
  /** Milliseconds between the tokens of a generation when running at capacity. */
  readonly decodeMs: number;
  readonly models: readonly LoadedModel[];
}

/** A change in the prefix cache of an engine. Events arrive delayed, and some are lost. */
export interface CacheEvent {
  /** Increases by one per event of a server; a larger step means that events were lost. */
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  /** Chained hash of the prefix block, as computed by `hashPrefixBlocks`. */
  readonly block: number;
}

/** A KV cache exported by an engine. */
export interface CacheExport {
  /** Handle by which another engine can import it. */
  readonly handle: string;
  /** Number of tokens that it covers. */
  readonly tokens: number;
}

/** Kinds of control command to an engine. */
export const EngineCommandKind = {
  LOAD_MODEL: 'load-model',
  UNLOAD_MODEL: 'unload-model',
  LOAD_ADAPTER: 'load-adapter',
  SET_ROLE: 'set-role',
} as const;
export type EngineCommandKind =
  (typeof EngineCommandKind)[keyof typeof EngineCommandKind];

/** A command that changes what an engine serves. */
export interface EngineCommand {
  readonly kind: EngineCommandKind;
  /** Fencing token of the lease under which the command is sent. */
  readonly fence: number;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly role?: string;
}

/** Interface of a model engine on a backend server. */
export interface ModelEngine {
  /**
   * Streams the tokens of a generation.
   * @throws ServerFailure - When the stream cannot be opened or breaks off.
   */
  generate(order: GenerationAttempt, signal: AbortSignal): AsyncIterable<Token>;
  getLoad(): Promise<Result<LoadReport, ServerFailure>>;
  /** Returns the cache events after a sequence number. */
  listCacheEvents(
    after: number,
  ): Promise<Result<readonly CacheEvent[], ServerFailure>>;
  /** Stops a running generation and exports its KV cache. */
  exportCache(requestId: string): Promise<Result<CacheExport, ServerFailure>>;
  /** Imports a KV cache, so that a continuation does not recompute the tokens it covers. */
  importCache(cache: CacheExport): Promise<Result<void, ServerFailure>>;
  /**
   * Sends a command. An engine that checks fences refuses it if it has seen a
   * higher one.
   */
  sendCommand(order: EngineCommand): Promise<Result<void, ServerFailure>>;
}
