import {expect} from 'chai';
import {
  decidePlace,
  getPlaceShare,
  PlaceContext,
  PlaceCounter,
  PlaceDecision,
  PlacesInUse,
  spreadRetry,
} from '../../src/admission/index.js';
import {ExecutionStatus} from '../../src/errors/index.js';
import {SeededRandom} from '../../src/random/index.js';

const CALM: PlaceContext = {
  service: 's',
  customer: 'a',
  waitMs: 0,
  targetMs: 519,
  shortestTargetMs: 519,
  remainingMs: 5000,
  rank: 0,
  ranks: 3,
  inUse: 100,
  places: 1000,
  inFlight: 10,
  share: 20,
};
const tag = {rank: 2, targetMs: 2010};

function decide(change: Partial<PlaceContext>, seed = 1): PlaceDecision {
  return decidePlace({...CALM, ...change}, new SeededRandom(seed));
}

describe('decidePlace', () => {
  it('admits each rank up to its target while nothing is scarce', () => {
    expect(decide({waitMs: 120}).problem).to.equal(undefined);
    expect(decide({...tag, waitMs: 120}).problem).to.equal(undefined);
  });

  it('never refuses the most urgent rank within its share before its target', () => {
    for (const inUse of [0, 900, 5000]) {
      expect(decide({waitMs: 519, inUse}).problem).to.equal(undefined);
      expect(decide({waitMs: 520, inUse}).reason).to.equal('target');
    }
  });

  it('refuses less urgent ranks at shorter waits, except for a minimum part', () => {
    const reasons = new Map<string, number>();
    for (let seed = 0; seed < 1000; seed++) {
      const {reason} = decide({...tag, waitMs: 300}, seed);
      reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
    }
    expect([...reasons.keys()]).to.have.members(['rank', 'minimum-part']);
    expect(reasons.get('minimum-part')).to.be.within(60, 140);
  });

  it('refuses a customer over its share first, as a request that has not run', () => {
    const {reason, problem} = decide({inUse: 900, inFlight: 60, waitMs: 10});
    expect([reason, problem?.ran]).to.deep.equal([
      'share',
      ExecutionStatus.NOT_EXECUTED,
    ]);
    expect(decide({inFlight: 60, waitMs: 10}).problem).to.equal(undefined);
  });

  it('refuses a hopeless request at once', () => {
    expect(decide({waitMs: 300, remainingMs: 200}).reason).to.equal('hopeless');
  });

  it('leaves the wait to decide while the number of places is not known', () => {
    expect(decide({places: 0, inUse: 900}).problem).to.equal(undefined);
  });
});

describe('getPlaceShare', () => {
  const usage = [
    {customer: 'big', inFlight: 60},
    {customer: 'small', inFlight: 20},
  ];

  it('limits only the customer that uses more than the others leave', () => {
    expect(getPlaceShare('big', new Map(), usage)).to.equal(40);
    expect(getPlaceShare('small', new Map(), usage)).to.equal(40);
  });

  it('follows the weights', () => {
    const weights = new Map([['big', {weight: 3}]]);
    expect(getPlaceShare('big', weights, usage)).to.equal(60);
  });
});

describe('spreadRetry', () => {
  it('lets the urgent return first, and each rank over a part of the time', () => {
    const random = new SeededRandom(4);
    const times = [0, 1, 2].map(rank => {
      const targetMs = rank === 0 ? 519 : 2010;
      const context = {...CALM, roomMs: 150, isOverShare: false};
      return Array.from({length: 500}, () =>
        spreadRetry({...context, rank, targetMs, remainingMs: 6000}, random),
      );
    });
    const ends = times.map(list => [Math.min(...list), Math.max(...list)]);
    expect(ends.flat()).to.deep.equal(ends.flat().sort((a, b) => a - b));
    expect(ends[2]?.[1]).to.be.at.most(6000 / 3);
    expect(ends[0]?.[0]).to.be.at.least(100);
    expect((ends[2]?.[1] ?? 0) - (ends[1]?.[0] ?? 0)).to.be.greaterThan(1000);
  });

  it('does not exceed a third of the time left', () => {
    const context = {...CALM, roomMs: 9000, isOverShare: true};
    const random = new SeededRandom(4);
    for (const rank of [0, 1, 2, 9]) {
      const ms = spreadRetry({...context, rank, remainingMs: 900}, random);
      expect(ms).to.be.within(100, 300);
    }
  });
});

describe('PlaceCounter', () => {
  // Guards against places of hosts that are cut off or killed that are never freed.
  it('counts the hosts that are heard, and no longer those whose reports expire', () => {
    let reported: PlacesInUse[] = [['s', 'a', 4]];
    const counter = new PlaceCounter(() => reported);
    const release = counter.add('s', 'a');
    counter.add('other', 'a');
    expect(counter.listAll('s')).to.deep.equal([{customer: 'a', inFlight: 5}]);
    reported = [];
    expect(counter.listAll('s')).to.deep.equal([{customer: 'a', inFlight: 1}]);
    release();
    expect(counter.listAll('s')).to.deep.equal([]);
  });
});
