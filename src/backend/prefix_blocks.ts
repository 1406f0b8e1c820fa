import {hashText} from '../random/index.js';

/** Characters of a prompt per cache block. */
export const BLOCK_CHARACTERS = 64;

/** Estimated characters per token, used until the engine has counted the tokens. */
export const CHARACTERS_PER_TOKEN = 4;

/** Estimated tokens per cache block. */
export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

/**
 * Hashes the full blocks of a prompt. Each hash also covers all blocks before
 * it, so two prompts have equal hashes as far as they have a common prefix.
 * @param salt - Identifies the model and adapter, which do not share caches.
 * @param prompt - Prompt text.
 * @param limit - Largest number of blocks to hash.
 */
export function hashPrefixBlocks(
  salt: string,
  prompt: string,
  limit: number,
): number[] {
  const blocks: number[] = [];
  let chain = hashText(salt);
  const fullBlocks = Math.floor(prompt.length / BLOCK_CHARACTERS);
  const count = Math.min(fullBlocks, limit);
  for (let index = 0; index < count; index++) {
    const start = index * BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + BLOCK_CHARACTERS);
    chain = hashText(`${chain}:${text}`);
    blocks.push(chain);
  }
  return blocks;
}

/** Estimates the number of tokens of a text; at least 1. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}
