import {expect} from 'chai';
import {
  AdmissionContext,
  decideAdmission,
  getFairShare,
} from '../../src/admission/index.js';
import {Customer} from '../../src/configuration/index.js';
import {SeededRandom} from '../../src/random/index.js';

function customers(weights: Readonly<Record<string, number>>) {
  return new Map<string, Customer>(
    Object.entries(weights).map(([name, weight]) => [
      name,
      {name, keyHashes: [], weight, mostUrgent: 0},
    ]),
  );
}

describe('getFairShare', () => {
  it('gives unused capacity to customers that need more', () => {
    const usage = [
      {customer: 'big', inFlight: 90},
      {customer: 'small', inFlight: 10},
    ];
    const all = customers({big: 1, small: 1});
    expect(getFairShare('big', all, usage, 100)).to.equal(90);
  });

  it('divides the capacity by weight when all need more', () => {
    const usage = [
      {customer: 'a', inFlight: 100},
      {customer: 'b', inFlight: 100},
    ];
    const all = customers({a: 3, b: 1});
    expect(getFairShare('a', all, usage, 100)).to.equal(75);
    expect(getFairShare('b', all, usage, 100)).to.equal(25);
  });
});

describe('decideAdmission', () => {
  function decide(change: Partial<AdmissionContext>): string | undefined {
    const problem = decideAdmission(
      {
        customer: 'a',
        customers: customers({a: 1, b: 1}),
        usage: [],
        capacity: 100,
        firstTokenMs: 100,
        targetMs: 310,
        remainingMs: 10_000,
        urgency: 3,
        ...change,
      },
      new SeededRandom(1),
    );
    expect(problem?.ran ?? 'no').to.equal('no');
    return problem?.kind;
  }

  it('admits a request that meets its target', () => {
    expect(decide({})).to.equal(undefined);
  });

  it('refuses a request that cannot meet its deadline', () => {
    expect(decide({remainingMs: 50})).to.equal('deadline-unreachable');
  });

  it('refuses less urgent requests first', () => {
    expect(decide({firstTokenMs: 260, urgency: 1})).to.equal(undefined);
    expect(decide({firstTokenMs: 260, urgency: 6})).to.equal(
      'deadline-unreachable',
    );
  });

  it('limits a customer to its share while capacity is scarce', () => {
    const usage = [
      {customer: 'a', inFlight: 60},
      {customer: 'b', inFlight: 20},
    ];
    expect(decide({usage})).to.equal('customer-over-share');
    expect(decide({usage, customer: 'b'})).to.equal(undefined);
  });

  it('does not enforce shares while the capacity is not known', () => {
    const usage = [{customer: 'a', inFlight: 60}];
    const capacity = Number.POSITIVE_INFINITY;
    expect(decide({usage, capacity})).to.equal(undefined);
  });

  it('randomises the retry time', () => {
    const random = new SeededRandom(2);
    const times = new Set<number | undefined>();
    for (let turn = 0; turn < 50; turn++) {
      const problem = decideAdmission(
        {
          customer: 'a',
          customers: customers({a: 1}),
          usage: [],
          capacity: 1,
          firstTokenMs: 5000,
          targetMs: 310,
          remainingMs: 10_000,
          urgency: 3,
        },
        random,
      );
      times.add(problem?.retryAfterSeconds);
    }
    expect([...times].sort((a, b) => (a ?? 0) - (b ?? 0))).to.eql([
      6, 7, 8, 9, 10,
    ]);
  });
});
