import {expect} from 'chai';
import {PendingConnections} from '../../src/host_load/index.js';

describe('PendingConnections', () => {
  let waiting: number;
  let isBusy: boolean;
  let connections: PendingConnections;

  beforeEach(() => {
    waiting = 0;
    isBusy = true;
    connections = new PendingConnections({
      isBusy: () => isBusy,
      // As Node does, accepts one connection per turn of the event loop.
      afterPoll: call =>
        setImmediate(() => {
          if (waiting > 0) {
            waiting--;
            connections.add();
          }
          call();
        }),
    });
  });

  it('has all connections accepted that wait in the kernel', async () => {
    connections.add();
    waiting = 20;
    const first = connections.accept();
    expect(connections.accept()).to.equal(first);
    await first;
    expect(waiting).to.equal(0);
    expect(connections.accept()).to.equal(undefined);
  });

  it('does not accept without end while requests wait', async () => {
    connections.add();
    waiting = 100_000;
    await connections.accept();
    expect(waiting).to.be.greaterThan(99_000);
  });

  it('makes nothing wait on a host that has idle time', () => {
    isBusy = false;
    connections.add();
    expect(connections.accept()).to.equal(undefined);
  });
});
