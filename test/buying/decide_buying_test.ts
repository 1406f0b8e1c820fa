import {expect} from 'chai';
import {decideBuying, Offer, StartBackoff} from '../../src/buying/index.js';

describe('decideBuying', () => {
  function offer(centre: number, change: Partial<Offer> = {}): Offer {
    return {
      zone: `zone-${centre}`,
      dataCentre: `centre-${centre}`,
      machineClass: 'standard',
      reclaimablePrice: 0.3,
      onDemandPrice: 1,
      reclaimsPerHour: 0.02,
      capacity: 16,
      refusedUntilMs: 0,
      ...change,
    };
  }

  const demand = {capacity: 128, floorShare: 0.75, reclaimCost: 0.1};

  it('spreads reclaimable hosts so that the floor stands without any one data centre', () => {
    const offers = [0, 1, 2, 3].map(centre => offer(centre));
    const bought = decideBuying(demand, offers, [], 0);
    for (const {dataCentre} of offers) {
      const left = bought.filter(item => item.dataCentre !== dataCentre);
      expect(left.length * 16).to.be.at.least(96);
    }
    expect(bought.every(item => item.reclaimable)).to.equal(true);
  });

  it('buys on demand only where nothing reclaimable can hold the floor', () => {
    const bought = decideBuying(demand, [offer(0)], [], 0);
    const onDemand = bought.filter(item => !item.reclaimable);
    expect(onDemand.length * 16).to.be.at.least(96);
    expect(onDemand[0]?.reason).to.equal('floor-for-lost-data-centre');
  });

  it('passes over a kind whose start was refused, and no other', () => {
    const offers = [offer(0, {refusedUntilMs: 1000}), offer(1), offer(2)];
    const zones = decideBuying(demand, offers, [], 500).map(item => item.zone);
    expect(zones).to.not.include('zone-0');
    expect(zones).to.include('zone-1');
  });

  it('counts what runs already, so that a need is not paid for twice', () => {
    const offers = [0, 1, 2, 3].map(centre => offer(centre));
    const held = decideBuying(demand, offers, [], 0).map(item => ({
      ...item,
      count: 1,
    }));
    expect(decideBuying(demand, offers, held, 0)).to.eql([]);
  });

  it('weighs the cost of reclaims against the price', () => {
    const cheapButTaken = offer(0, {reclaimablePrice: 0.2, reclaimsPerHour: 5});
    const [first] = decideBuying(demand, [cheapButTaken, offer(1)], [], 0);
    expect(first?.zone).to.equal('zone-1');
  });
});

describe('StartBackoff', () => {
  it('doubles with every refusal in a row, for that kind alone', () => {
    const backoff = new StartBackoff();
    backoff.addRefusal('z', 'c', 0);
    expect(backoff.getRefusedUntilMs('z', 'c')).to.equal(15_000);
    backoff.addRefusal('z', 'c', 0);
    expect(backoff.getRefusedUntilMs('z', 'c')).to.equal(30_000);
    expect(backoff.getRefusedUntilMs('y', 'c')).to.equal(0);
    backoff.addStart('z', 'c');
    expect(backoff.getRefusedUntilMs('z', 'c')).to.equal(0);
  });
});
