import {expect} from 'chai';
import {answer, fail, RelayFixture} from './relay_fixture.js';

describe('a relay that learns the times of servers', () => {
  function countLearned({models}: RelayFixture): number {
    return models.listSums().routes.get('desk/r')?.[0] ?? 0;
  }

  it('learns from complete answers', async () => {
    const fixture = new RelayFixture(answer);
    fixture.learnsTimes = true;
    await fixture.serve({});
    await fixture.serve({});
    expect(countLearned(fixture)).to.be.closeTo(2, 0.1);
    expect(fixture.metrics.format()).to.match(/server_model_error_count.* \d/);
  });

  it('does not learn from error responses', async () => {
    const fixture = new RelayFixture(fail);
    fixture.learnsTimes = true;
    await fixture.serve({});
    expect(countLearned(fixture)).to.equal(0);
  });

  it('learns nothing while the feature is off', async () => {
    const fixture = new RelayFixture(answer);
    await fixture.serve({});
    fixture.learnsTimes = true;
    expect(countLearned(fixture)).to.equal(0);
  });
});
