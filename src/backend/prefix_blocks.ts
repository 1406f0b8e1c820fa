import {hashText} from '../random/index.js';

/** Characters of a prompt that make one cache block. */
export const BLOCK_CHARACTERS = 64;

/** Characters that make one token, as an estimate before the engine counts. */
export const CHARACTERS_PER_TOKEN = 4;

/** Tokens in one cache block. */
export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

/**
 * Hashes a prompt block by block; each hash covers all text before it, so two
 * prompts share a hash exactly as far as they share a prefix.
 * @param salt - Model, version and adapter: caches are not shared between them.
 * @param prompt - Prompt text.
 * @param limit - Most blocks to hash.
 */
export function hashPrefixBlocks(
  salt: string,
  prompt: string,
  limit: number,
): number[] {
  const blocks: number[] = [];
  let chain = hashText(salt);
  const whole = Math.floor(prompt.length / BLOCK_CHARACTERS);
  const count = Math.min(whole, limit);
  for (let index = 0; index < count; index++) {
    const start = index * BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + BLOCK_CHARACTERS);
    chain = hashText(`${chain}:${text}`);
    blocks.push(chain);
  }
  return blocks;
}

/** Estimates the tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}
