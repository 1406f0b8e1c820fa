import {expect} from 'chai';
import {CentreServers, planFleet} from '../../src/provisioning/index.js';

describe('planFleet', () => {
  const prices = new Map([
    ['tac', 1],
    ['pdx', 0.8],
    ['geg', 1.25],
    ['bli', 0.9],
  ]);
  const scaling = {
    min: 1,
    max: 4,
    bootMs: 4000,
    reclaimablePrice: 0.22,
    prices,
  };

  function listCentres(
    reclaimable: readonly number[],
    onDemand: readonly number[],
  ): CentreServers[] {
    return [...prices.keys()].map((dataCentre, index) => ({
      dataCentre,
      reclaimable: reclaimable[index] ?? 0,
      onDemand: onDemand[index] ?? 0,
    }));
  }

  function plan(
    needed: number,
    least: number,
    reclaimable: readonly number[],
    onDemand: readonly number[],
    overrides: Partial<typeof scaling> = {},
  ) {
    const centres = listCentres(reclaimable, onDemand);
    const orders = planFleet({
      scaling: {...scaling, ...overrides},
      needed,
      least,
      kept: 8,
      centres,
    });
    return {
      reclaimable: orders.map(order => order.reclaimable),
      onDemand: orders.map(order => order.onDemand),
    };
  }

  describe('a service that starts with on-demand servers', () => {
    it('gets reclaimable servers in addition', () => {
      const orders = plan(8, 0, [0, 0, 0, 0], [2, 2, 2, 2]);
      expect(orders.reclaimable).to.deep.equal([2, 2, 2, 2]);
      expect(orders.onDemand).to.deep.equal([2, 2, 2, 2]);
    });

    it('releases them once the reclaimable servers serve', () => {
      const orders = plan(8, 2, [2, 2, 2, 2], [2, 2, 2, 2]);
      expect(orders.onDemand).to.deep.equal([0, 0, 0, 0]);
    });
  });

  describe('a data centre that is reclaimed', () => {
    it('is not replaced while the others can serve the load', () => {
      const orders = plan(8, 4, [2, 0, 2, 2], [0, 0, 0, 0]);
      expect(orders.onDemand).to.deep.equal([0, 0, 0, 0]);
      expect(orders.reclaimable).to.deep.equal([2, 2, 2, 2]);
    });

    it('causes no release of servers in the others while its own are missing', () => {
      const orders = plan(9, 4, [3, 0, 3, 3], [0, 0, 0, 0]);
      expect(orders.reclaimable).to.deep.equal([3, 3, 3, 3]);
    });

    it('is replaced by on-demand servers if the others are too few', () => {
      const orders = plan(8, 7.5, [2, 0, 2, 2], [0, 0, 0, 0]);
      expect(orders.onDemand).to.deep.equal([0, 1, 0, 1]);
    });
  });

  describe('bounds', () => {
    it('keep each data centre at the minimum, the rest where it is cheapest', () => {
      const orders = plan(5, 0, [0, 0, 0, 0], [0, 0, 0, 0]);
      expect(orders.reclaimable).to.deep.equal([1, 2, 1, 1]);
    });

    it('are not exceeded by both kinds together', () => {
      const orders = plan(40, 40, [0, 0, 0, 0], [4, 4, 4, 4]);
      for (const [index, count] of orders.reclaimable.entries()) {
        expect(count + (orders.onDemand[index] ?? 0)).to.be.at.most(4);
      }
    });
  });

  describe('reclaimable servers that are not available', () => {
    it('leave capacity for on-demand servers as substitutes', () => {
      const orders = plan(16, 13, [3, 0, 0, 0], [0, 0, 0, 0]);
      const onDemand = orders.onDemand.reduce((sum, count) => sum + count, 0);
      expect(onDemand).to.equal(10);
    });
  });

  it('orders on-demand servers if there are no reclaimable ones', () => {
    const orders = plan(8, 8, [0, 0, 0, 0], [2, 2, 2, 2], {
      reclaimablePrice: 1,
    });
    expect(orders.reclaimable).to.deep.equal([0, 0, 0, 0]);
    expect(orders.onDemand).to.deep.equal([2, 2, 2, 2]);
  });
});
