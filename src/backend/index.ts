/** Clients of backend servers: model engines and plain services. */
export * from './model_engine.js';
export * from './plain_service.js';
export * from './server_failure.js';
export {HttpModelEngine} from './http_model_engine.js';
export {HttpPlainService} from './http_plain_service.js';
export {
  BLOCK_TOKENS,
  estimateTokens,
  hashPrefixBlocks,
} from './prefix_blocks.js';
export {getPromptText} from './prompt_text.js';
export {readEventStream} from './event_stream.js';
