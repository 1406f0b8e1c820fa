import {expect} from 'chai';
import {EmulatedServer, EmulatedRun} from '../../src/measure/index.js';
import {VirtualClock} from '../../src/time/index.js';

describe('EmulatedServer', () => {
  const shared = {id: 'shared', tokens: 5000};

  async function prefillSequentially(count: number): Promise<EmulatedRun[]> {
    const clock = new VirtualClock();
    const server = new EmulatedServer('a', clock);
    const runs: EmulatedRun[] = [];
    for (let index = 0; index < count; index++) {
      const parts = [shared, {id: `own-${index}`, tokens: 1000}];
      void server.prefill(parts).then(run => runs.push(run));
      await clock.advance(1000);
    }
    return runs;
  }

  it('computes a shared prompt part only once', async () => {
    const [first, second] = await prefillSequentially(2);
    expect(first?.sharedParts).to.deep.equal([shared]);
    expect(first?.computedTokens).to.equal(6000);
    expect(second?.sharedParts).to.deep.equal([]);
    expect(second?.computedTokens).to.equal(1000);
  });

  it('computes prompts sequentially', async () => {
    const clock = new VirtualClock();
    const server = new EmulatedServer('a', clock);
    const endsMs: number[] = [];
    for (const id of ['x', 'y']) {
      const parts = [{id, tokens: 8080}];
      void server.prefill(parts).then(() => endsMs.push(clock.monotonicMs()));
    }
    await clock.advance(1000);
    expect(endsMs.map(Math.round)).to.deep.equal([100, 200]);
  });
});
