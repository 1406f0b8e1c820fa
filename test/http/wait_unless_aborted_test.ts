import {expect} from 'chai';
import {collectGarbage, Garbage} from '../../src/http/collect_garbage.js';
import {waitUnlessAborted} from '../../src/http/index.js';

describe('waitUnlessAborted', () => {
  it('resolves with the promise, in the order of the calls', async () => {
    const ended: number[] = [];
    let resolve: () => void = () => undefined;
    const promise = new Promise<void>(settle => (resolve = settle));
    const {signal} = new AbortController();
    const waits = [1, 2, 3].map(async number => {
      await waitUnlessAborted(promise, signal);
      ended.push(number);
    });
    resolve();
    await Promise.all(waits);
    expect(ended).to.deep.equal([1, 2, 3]);
  });

  // Guards against requests of closed connections that hold their memory until the wait ends.
  it('keeps nothing of the waiting function after an abort', async () => {
    const promise = new Promise<void>(() => undefined);
    const controller = new AbortController();
    const wait = async (): Promise<WeakRef<object>> => {
      const held = {};
      await waitUnlessAborted(promise, controller.signal);
      return new WeakRef(held);
    };
    const waiting = wait();
    controller.abort();
    const reference = await waiting;
    // A reference is kept until the end of the turn in which it was created.
    await new Promise(resolve => setImmediate(resolve));
    collectGarbage(Garbage.ALL);
    expect(reference.deref()).to.equal(undefined);
  });
});
