import {Result} from 'true-myth';
import {Feature, FeatureMode, FeatureModes} from './feature.js';

const FEATURES: readonly Feature[] = Object.values(Feature);
const MODES: readonly FeatureMode[] = Object.values(FeatureMode);

/**
 * Parses a comma-separated list of features with their modes, such as
 * `server-model=off,host-overload=on`.
 * @param text - The list; empty if no mode is set.
 * @returns The modes, or an error of one line that names the valid values.
 */
export function parseFeatureModes(text: string): Result<FeatureModes, string> {
  const modes = new Map<Feature, FeatureMode>();
  for (const entry of text.split(',')) {
    if (entry.trim() === '') {
      continue;
    }
    const [name = '', value = ''] = entry.split('=').map(part => part.trim());
    const feature = FEATURES.find(known => known === name);
    if (feature === undefined) {
      return Result.err(
        `unknown feature "${name}"; set one of ${FEATURES.join(', ')}`,
      );
    }
    const mode = MODES.find(known => known === value);
    if (mode === undefined) {
      return Result.err(
        `${name}: unknown mode "${value}"; set one of ${MODES.join(', ')}`,
      );
    }
    modes.set(feature, mode);
  }
  return Result.ok(modes);
}
