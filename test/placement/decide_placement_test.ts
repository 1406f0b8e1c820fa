import {expect} from 'chai';
import {Deployment} from '../../src/configuration/index.js';
import {decidePlacement, PlaceableServer} from '../../src/placement/index.js';

describe('decidePlacement', () => {
  const deployment: Deployment = {
    name: 'dossier',
    target: {kind: 'model', model: 'm', version: '2', adapters: []},
    customers: [],
    dataCentres: [],
    servers: [],
    urgency: 3,
    latencyTarget: {firstTokenMs: 310, betweenTokensMs: 72},
    weights: {recomputedToken: 1, lateSecond: 1},
    replicas: 2,
  };

  function server(name: string, version?: string): PlaceableServer {
    const models =
      version === undefined ? [] : [{name: 'm', version, adapters: []}];
    return {name, dataCentre: 'tac', models, usable: true, busy: false};
  }

  function decide(
    servers: readonly PlaceableServer[],
    loads: number,
    change: Partial<Deployment> = {},
  ): string[] {
    const orders = decidePlacement([{...deployment, ...change}], servers, {
      loads,
    });
    return orders.map(order => `${order.server}:${order.reason}`);
  }

  it('loads missing replicas, first on the servers with the fewest models', () => {
    expect(decide([server('a'), server('b'), server('c', '2')], 9)).to.eql([
      'a:replica-missing',
    ]);
  });

  it('starts no more loads than the weight store allows', () => {
    expect(decide([server('a'), server('b')], 1)).to.have.length(1);
  });

  it('rolls out a version on one server at a time', () => {
    const servers = [server('a', '1'), server('b', '1')];
    expect(decide(servers, 9)).to.eql(['a:version-rollout']);
  });

  it('waits while an order to a server of the data centre is in flight', () => {
    const servers = [{...server('a', '1'), busy: true}, server('b', '1')];
    expect(decide(servers, 9)).to.eql([]);
  });

  // Guards against a data centre without any server of a model: the last one that serves is
  // updated while the others are still loading.
  describe('the last server of a data centre that serves a model', () => {
    it('is not updated while another one is loading it', () => {
      const loading = {...server('a'), busy: true};
      expect(decide([loading, server('b', '1')], 9)).to.eql([]);
    });

    it('is not updated before a missing replica is loaded', () => {
      expect(decide([server('a'), server('b', '1')], 9)).to.eql([
        'a:replica-missing',
      ]);
    });

    it('is updated if no further replica is wanted', () => {
      const servers = [server('a'), server('b', '1')];
      expect(decide(servers, 9, {replicas: 1})).to.eql(['b:version-rollout']);
    });

    it('is updated if there is no other server', () => {
      expect(decide([server('a', '1')], 9)).to.eql(['a:version-rollout']);
    });
  });

  it('sends no order where the wanted state has been reached', () => {
    expect(decide([server('a', '2'), server('b', '2')], 9)).to.eql([]);
  });

  it('loads a missing adapter where the model is loaded already', () => {
    const target = {...deployment.target, adapters: ['tin']} as never;
    expect(decide([server('a', '2'), server('b', '2')], 9, {target})).to.eql([
      'a:adapter-missing',
    ]);
  });

  it('omits servers that are leaving', () => {
    expect(decide([{...server('a'), usable: false}], 9)).to.eql([]);
  });
});
