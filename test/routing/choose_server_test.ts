import {expect} from 'chai';
import {SeededRandom} from '../../src/random/index.js';
import {
  chooseServer,
  OutlierDetector,
  PrefixIndex,
  RetryBudget,
  ServerKnowledge,
} from '../../src/routing/index.js';
import {VirtualClock} from '../../src/time/index.js';

describe('chooseServer', () => {
  function server(
    name: string,
    change: Partial<ServerKnowledge> = {},
  ): ServerKnowledge {
    return {
      server: name,
      dataCentre: 'tac',
      load: {
        running: 0,
        waiting: 0,
        capacity: 8,
        prefillRate: 10_000,
        decodeMs: 20,
        models: [],
      },
      sentSinceReport: 0,
      inFlight: 0,
      cachedTokens: 0,
      pendingPrefillTokens: 0,
      excessMs: 0,
      hopMs: 0,
      ejected: false,
      ...change,
    };
  }

  function doTest(
    servers: readonly ServerKnowledge[],
    excluded: readonly string[] = [],
  ): string | undefined {
    const request = {
      promptTokens: 1000,
      expectedTokens: 100,
      excluded: new Set(excluded),
    };
    return chooseServer(request, servers, new SeededRandom(1)).chosen?.server;
  }

  it('prefers a cached prefix while its queue costs less than it saves', () => {
    const holder = server('holder', {cachedTokens: 900});
    expect(doTest([server('other'), holder])).to.equal('holder');
    const queued = {...holder, sentSinceReport: 20};
    expect(doTest([server('other'), queued])).to.equal('other');
  });

  it('corrects a late report by what it has sent since', () => {
    const sent = server('sent', {sentSinceReport: 12});
    expect(doTest([sent, server('free')])).to.equal('free');
  });

  it('takes another data centre only when it answers earlier all the same', () => {
    const far = server('far', {hopMs: 25});
    expect(doTest([server('here'), far])).to.equal('here');
    expect(doTest([server('here', {sentSinceReport: 30}), far])).to.equal(
      'far',
    );
  });

  it('passes over servers that fail, but never over all of them', () => {
    const bad = server('bad', {ejected: true});
    expect(doTest([bad, server('good')])).to.equal('good');
    expect(doTest([bad])).to.equal('bad');
  });

  describe('with slack before the target', () => {
    function chooseWithin(
      slackMs: number,
      servers: readonly ServerKnowledge[],
    ): string | undefined {
      const request = {
        promptTokens: 1000,
        expectedTokens: 100,
        excluded: new Set<string>(),
        slackMs,
      };
      return chooseServer(request, servers, new SeededRandom(1)).chosen?.server;
    }

    // 900 cached tokens save 90 ms; the prompt ahead takes 150 ms.
    const holder = server('holder', {
      cachedTokens: 900,
      pendingPrefillTokens: 1500,
    });

    it('waits behind another prompt where that saves prefill', () => {
      expect(chooseWithin(300, [server('other'), holder])).to.equal('holder');
    });

    it('does not wait past the slack', () => {
      expect(chooseWithin(50, [server('other'), holder])).to.equal('other');
    });

    it('does not wait where nothing is saved', () => {
      const queued = server('queued', {pendingPrefillTokens: 1500});
      expect(chooseWithin(300, [queued, server('other')])).to.equal('other');
    });
  });

  it('chooses none when all are excluded', () => {
    expect(doTest([server('a')], ['a'])).to.equal(undefined);
  });
});

describe('OutlierDetector', () => {
  it('takes a server out after three failures in a row, for growing spans', async () => {
    const clock = new VirtualClock();
    const detector = new OutlierDetector(clock);
    const failThrice = () =>
      [1, 2, 3].map(() => detector.addFailure('a')).includes(true);
    expect(failThrice()).to.equal(true);
    await clock.advance(2001);
    expect(detector.isEjected('a')).to.equal(false);
    failThrice();
    await clock.advance(2001);
    expect(detector.isEjected('a')).to.equal(true);
    detector.addSuccess('a');
    expect(detector.isEjected('a')).to.equal(false);
  });
});

describe('RetryBudget', () => {
  it('allows a share of the requests and runs dry', () => {
    const budget = new RetryBudget(new VirtualClock());
    let spent = 0;
    while (budget.spend()) {
      spent++;
    }
    expect(spent).to.equal(10);
    for (let request = 0; request < 20; request++) {
      budget.addRequest();
    }
    expect(budget.spend()).to.equal(true);
    expect(budget.spend()).to.equal(true);
    expect(budget.spend()).to.equal(false);
  });
});

describe('PrefixIndex', () => {
  it('follows late events, counts gaps and forgets what was evicted', () => {
    const index = new PrefixIndex();
    index.addPrompt([1, 2, 3]);
    expect(index.countCachedTokens([1, 2, 3, 4])).to.equal(48);
    index.addEvents([{sequence: 4, kind: 'evicted', block: 2}]);
    expect(index.countCachedTokens([1, 2, 3])).to.equal(16);
    expect(index.countMissed()).to.equal(3);
    index.addEvents([{sequence: 2, kind: 'stored', block: 2}]);
    expect(index.countCachedTokens([1, 2, 3])).to.equal(16);
  });
});
