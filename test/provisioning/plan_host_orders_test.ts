import {expect} from 'chai';
import {
  planHostOrders,
  Offer,
  StartBackoff,
} from '../../src/provisioning/index.js';

describe('planHostOrders', () => {
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

  it('spreads reclaimable hosts so that the floor holds without any one data centre', () => {
    const offers = [0, 1, 2, 3].map(centre => offer(centre));
    const ordered = planHostOrders(demand, offers, [], 0);
    for (const {dataCentre} of offers) {
      const left = ordered.filter(item => item.dataCentre !== dataCentre);
      expect(left.length * 16).to.be.at.least(96);
    }
    expect(ordered.every(item => item.reclaimable)).to.equal(true);
  });

  it('orders on-demand hosts only if reclaimable ones cannot hold the floor', () => {
    const ordered = planHostOrders(demand, [offer(0)], [], 0);
    const onDemand = ordered.filter(item => !item.reclaimable);
    expect(onDemand.length * 16).to.be.at.least(96);
    expect(onDemand[0]?.reason).to.equal('floor-for-lost-data-centre');
  });

  it('skips a kind of host whose start was refused, and no other', () => {
    const offers = [offer(0, {refusedUntilMs: 1000}), offer(1), offer(2)];
    const zones = planHostOrders(demand, offers, [], 500).map(
      item => item.zone,
    );
    expect(zones).to.not.include('zone-0');
    expect(zones).to.include('zone-1');
  });

  it('includes hosts that already run, so that none is ordered twice', () => {
    const offers = [0, 1, 2, 3].map(centre => offer(centre));
    const held = planHostOrders(demand, offers, [], 0).map(item => ({
      ...item,
      count: 1,
    }));
    expect(planHostOrders(demand, offers, held, 0)).to.eql([]);
  });

  it('includes the cost of reclaims in the price', () => {
    const cheapButReclaimed = offer(0, {
      reclaimablePrice: 0.2,
      reclaimsPerHour: 5,
    });
    const [first] = planHostOrders(
      demand,
      [cheapButReclaimed, offer(1)],
      [],
      0,
    );
    expect(first?.zone).to.equal('zone-1');
  });
});

describe('StartBackoff', () => {
  it('doubles with each consecutive refusal, for that kind of host only', () => {
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
