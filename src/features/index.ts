/** Features: optional behaviours, on where settings and configuration call for them. */
export {Feature, FeatureMode} from './feature.js';
export type {FeatureModes} from './feature.js';
export {Features} from './features.js';
export type {FeatureRules} from './features.js';
export {parseFeatureModes} from './parse_feature_modes.js';
