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

  function doTest(
    servers: readonly PlaceableServer[],
    loads: number,
    change: Partial<Deployment> = {},
  ): string[] {
    const orders = decidePlacement([{...deployment, ...change}], servers, {
      loads,
    });
    return orders.map(order => `${order.server}:${order.reason}`);
  }

  it('loads missing replicas, on the emptiest servers first', () => {
    expect(doTest([server('a'), server('b'), server('c', '2')], 9)).to.eql([
      'a:replica-missing',
    ]);
  });

  it('starts no more loads than the weight store allows', () => {
    expect(doTest([server('a'), server('b')], 1)).to.have.length(1);
  });

  it('rolls a version out one server at a time', () => {
    const servers = [server('a', '1'), server('b', '1')];
    expect(doTest(servers, 9)).to.eql(['a:version-rollout']);
  });

  it('waits while a server of the data centre is being changed', () => {
    const servers = [{...server('a', '1'), busy: true}, server('b', '1')];
    expect(doTest(servers, 9)).to.eql([]);
  });

  it('is convergent: what stands as wanted gets no order', () => {
    expect(doTest([server('a', '2'), server('b', '2')], 9)).to.eql([]);
  });

  it('loads a missing adapter where the model already is', () => {
    const target = {...deployment.target, adapters: ['tin']} as never;
    expect(doTest([server('a', '2'), server('b', '2')], 9, {target})).to.eql([
      'a:adapter-missing',
    ]);
  });

  it('leaves out servers that are leaving', () => {
    expect(doTest([{...server('a'), usable: false}], 9)).to.eql([]);
  });
});
