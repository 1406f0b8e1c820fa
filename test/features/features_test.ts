import {expect} from 'chai';
import {
  Feature,
  FeatureModes,
  FeatureRules,
  Features,
  parseFeatureModes,
} from '../../src/features/index.js';

function parse(text: string): FeatureModes {
  return parseFeatureModes(text).unwrapOrElse(error => {
    throw new Error(error);
  });
}

describe('Features', () => {
  const rules = Object.fromEntries(
    Object.values(Feature).map(feature => [feature, () => true]),
  ) as FeatureRules;

  it('follows the rule of a feature without a mode', () => {
    const features = new Features(parse(''), rules);
    expect(features.isEnabled(Feature.SERVER_MODEL)).to.equal(true);
  });

  it('gives the mode that the operator has set precedence over the rule', () => {
    const features = new Features(
      parse('server-model=off, host-overload=auto'),
      rules,
    );
    expect(features.isEnabled(Feature.SERVER_MODEL)).to.equal(false);
    expect(features.isEnabled(Feature.HOST_OVERLOAD)).to.equal(true);
  });

  describe('parseFeatureModes', () => {
    // A misspelt name would leave the feature in its default mode without notice.
    for (const text of ['server-modl=off', 'server-model=no', 'server-model']) {
      it(`refuses "${text}" and names the valid values`, () => {
        const parsed = parseFeatureModes(text);
        expect(parsed.isErr && parsed.error).to.match(/set one of .*, /);
      });
    }
  });
});
