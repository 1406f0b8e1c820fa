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

  function choose(
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

  it('prefers a server with the prefix cached while its queue costs less than the prefix saves', () => {
    const holder = server('holder', {cachedTokens: 900});
    expect(choose([server('other'), holder])).to.equal('holder');
    const queued = {...holder, sentSinceReport: 20};
    expect(choose([server('other'), queued])).to.equal('other');
  });

  it('corrects a delayed load report by the requests sent since', () => {
    const sent = server('sent', {sentSinceReport: 12});
    expect(choose([sent, server('free')])).to.equal('free');
  });

  it('chooses another data centre only if it answers earlier despite the hop', () => {
    const far = server('far', {hopMs: 25});
    expect(choose([server('here'), far])).to.equal('here');
    expect(choose([server('here', {sentSinceReport: 30}), far])).to.equal(
      'far',
    );
  });

  it('draws no server that would start too late with the request, if another would not', () => {
    const times = {
      kind: {route: 'chat', hasPrefill: true},
      fixedMs: 400,
      ownTokenMs: 0,
      aheadTokenMs: 0.01,
      lateShare: 0,
      waitingMs: 0,
    };
    const late = server('late', {learned: times, pendingPrefillTokens: 11_000});
    const free = server('free', {learned: times});
    const random = new SeededRandom(1);
    const draw = (maxWaitMs: number) =>
      chooseServer(
        {promptTokens: 0, expectedTokens: 1, excluded: new Set(), maxWaitMs},
        [late, free],
        random,
      ).chosen?.server;
    const many = Array.from({length: 100});
    expect(many.map(() => draw(100))).not.to.include('late');
    expect(many.map(() => draw(200))).to.include('late');
  });

  it('skips ejected servers unless all are ejected', () => {
    const bad = server('bad', {ejected: true});
    expect(choose([bad, server('good')])).to.equal('good');
    expect(choose([bad])).to.equal('bad');
  });

  describe('with slack', () => {
    function chooseWithSlack(
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

    // The 900 cached tokens save 90 ms of prefill; the prompt ahead takes 150
    // ms.
    const holder = server('holder', {
      cachedTokens: 900,
      pendingPrefillTokens: 1500,
    });

    it('accepts waiting for another prompt where that saves prefill', () => {
      expect(chooseWithSlack(300, [server('other'), holder])).to.equal(
        'holder',
      );
    });

    it('does not accept waiting beyond the slack', () => {
      expect(chooseWithSlack(50, [server('other'), holder])).to.equal('other');
    });

    it('does not accept waiting where no prefill is saved', () => {
      const queued = server('queued', {pendingPrefillTokens: 1500});
      expect(chooseWithSlack(300, [queued, server('other')])).to.equal('other');
    });
  });

  it('chooses no server if all are excluded', () => {
    expect(choose([server('a')], ['a'])).to.equal(undefined);
  });
});

describe('OutlierDetector', () => {
  it('ejects a server after three consecutive failures, each time for longer', async () => {
    const clock = new VirtualClock();
    const detector = new OutlierDetector(clock);
    const failThreeTimes = () =>
      [1, 2, 3].map(() => detector.addFailure('a')).includes(true);
    expect(failThreeTimes()).to.equal(true);
    await clock.advance(2001);
    expect(detector.isEjected('a')).to.equal(false);
    failThreeTimes();
    await clock.advance(2001);
    expect(detector.isEjected('a')).to.equal(true);
    detector.addSuccess('a');
    expect(detector.isEjected('a')).to.equal(false);
  });
});

describe('RetryBudget', () => {
  it('allows retries for a share of the requests and is used up', () => {
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
  it('applies delayed events, counts gaps and removes evicted blocks', () => {
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
