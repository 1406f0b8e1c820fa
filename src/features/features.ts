import {Feature, FeatureMode, FeatureModes} from './feature.js';

/** Rules that decide, for each feature, whether the deployment calls for it. */
export type FeatureRules = Readonly<Record<Feature, () => boolean>>;

/** Decides which features are on at this host. */
export class Features {
  /**
   * @param modes - Modes that the operator has set.
   * @param rules - Decide the features without a mode, or with `FeatureMode.AUTO`.
   */
  constructor(
    private readonly modes: FeatureModes,
    private readonly rules: FeatureRules,
  ) {}

  /** Returns whether a feature is on now. */
  isEnabled(feature: Feature): boolean {
    const mode = this.modes.get(feature) ?? FeatureMode.AUTO;
    return mode === FeatureMode.AUTO
      ? this.rules[feature]()
      : mode === FeatureMode.ON;
  }
}
