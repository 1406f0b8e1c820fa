// Writes a copy of a site file in which rates, sizes, slots, speeds, latency targets and the
// limits of customers are multiplied by random factors between 0.5 and 2, drawn from a seed.
// The copies are deployments to which no constant was fitted. Keep them outside the
// repository.
//
//     node scripts/vary_site.mjs SITE.toml FOLDER SEED
import {readFileSync, writeFileSync} from 'node:fs';
import {basename, join} from 'node:path';
import {parse, stringify} from 'smol-toml';

const [site, folder, seedText] = process.argv.slice(2);
const seed = Number(seedText);
if (folder === undefined || !Number.isInteger(seed)) {
  console.error('usage: node scripts/vary_site.mjs SITE.toml FOLDER SEED');
  process.exit(2);
}

let state = seed;
/** Returns a pseudo-random number from 0 to 1 (mulberry32). */
function draw() {
  state = (state + 0x6d2b79f5) | 0;
  let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
  mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
  return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
}

/** Returns a factor from 1 / maxFactor to maxFactor; below and above 1 are equally likely. */
function drawFactor(maxFactor) {
  return Math.round(maxFactor ** (2 * draw() - 1) * 100) / 100;
}

const factors = {
  rate: drawFactor(1.4),
  prompts: drawFactor(2),
  answers: drawFactor(2),
  places: drawFactor(2),
  speed: drawFactor(1.4),
  targets: drawFactor(2),
  limits: drawFactor(1.5),
};
const document = parse(readFileSync(site, 'utf8'));

/** Multiplies the numeric members among `keys` by a factor; absent ones stay absent. */
function scale(table, keys, factor, round = value => value) {
  for (const key of keys) {
    if (typeof table?.[key] === 'number') {
      table[key] = round(table[key] * factor);
    }
  }
}

for (const {traffic} of [document, ...document.day]) {
  for (const source of traffic ?? []) {
    scale(source, ['per_s'], factors.rate);
  }
}
for (const {slots, llm, ...service} of document.services) {
  const entry = document.services.find(({name}) => name === service.name);
  scale(entry, ['slots'], llm ? factors.places : 1, Math.round);
  scale(entry.llm, ['batch'], factors.places, Math.round);
  scale(entry.llm, ['step_ms', 'step_ms_per_slot'], 1 / factors.speed);
  scale(entry.llm, ['prefill_tokens_per_ms'], factors.speed);
}
for (const requestClass of document.classes) {
  scale(requestClass, ['aim_ms'], factors.targets, Math.round);
  if (requestClass.stream !== undefined) {
    scale(requestClass.stream.prompt_tokens, ['mean', 'max'], factors.prompts);
    scale(requestClass.stream.pieces, ['mean', 'max'], factors.answers);
    for (const part of requestClass.stream.chain ?? []) {
      scale(part.tokens, ['mean', 'max'], factors.prompts);
    }
  }
}
scale(document.tenants, ['quota_x'], factors.limits);
const target = join(folder, `${basename(site, '.toml')}-${seed}.toml`);
writeFileSync(target, stringify(document));
console.log(`${target} ${JSON.stringify(factors)}`);
