import {expect} from 'chai';
import {Result} from 'true-myth';
import {BrittleServices} from '../../src/brittle/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVICE = 'ledger';
const SLOTS = 2;

describe('BrittleServices', () => {
  let clock: VirtualClock;
  let inFlight: Map<string, number>;
  let hosts: number;
  let brittle: BrittleServices;

  beforeEach(() => {
    clock = new VirtualClock(1000);
    inFlight = new Map();
    hosts = 1;
    brittle = new BrittleServices({
      clock,
      log: new SilentLog(),
      metrics: new Metrics(),
      listServers: () => ['a', 'b'].map(id => ({id, slots: SLOTS})),
      countInFlight: server => inFlight.get(server) ?? 0,
      getHostPosition: () => ({hosts, place: 0}),
    });
  });

  function addAnswer(
    isBrittle: boolean,
    isSuccess = true,
    sentMs = clock.monotonicMs(),
  ): void {
    const stated = Result.ok<number, string>(4);
    brittle.addAnswer({
      service: SERVICE,
      server: 'a',
      isSuccess,
      sentMs,
      ...(isBrittle ? {stated} : {}),
    });
  }

  describe('a service', () => {
    // Guards against LIMIT: a statement that is not read, or only from successes.
    it('is brittle from the first answer that states it', () => {
      expect(brittle.isBrittle(SERVICE)).to.equal(false);
      addAnswer(true, false);
      expect(brittle.isBrittle(SERVICE)).to.equal(true);
    });

    // Guards against a service that is taken for sound because of an old answer, or of an
    // answer that another program on the way gave.
    it('is brittle until a later success does not state it', async () => {
      const beforeMs = clock.monotonicMs();
      await clock.advance(100);
      addAnswer(true);
      addAnswer(false, true, beforeMs);
      addAnswer(false, false);
      expect(brittle.isBrittle(SERVICE)).to.equal(true);
      addAnswer(false);
      expect(brittle.isBrittle(SERVICE)).to.equal(false);
    });

    // Guards against a statement with a value that cannot be read, which is ignored.
    it('is brittle if the value cannot be used', () => {
      const stated = Result.err<number, string>('"x" is no number');
      const sentMs = clock.monotonicMs();
      const answer = {service: SERVICE, server: 'a', isSuccess: true, sentMs};
      brittle.addAnswer({...answer, stated});
      expect(brittle.isBrittle(SERVICE)).to.equal(true);
    });

    // Guards against requests that are held back for a server that is gone.
    it('is no longer brittle when its servers have not answered for long', async () => {
      addAnswer(true);
      await clock.advance(16_000);
      expect(brittle.isBrittle(SERVICE)).to.equal(false);
    });
  });

  describe('a request', () => {
    // Guards against LIMIT: more requests than a server runs, which have to wait there.
    it('is sent only to a server where this host has a free slot', async () => {
      addAnswer(true);
      inFlight.set('a', SLOTS);
      expect(brittle.hasFreeSlot(SERVICE, 'a')).to.equal(false);
      expect(brittle.hasFreeSlot(SERVICE, 'b')).to.equal(true);
      hosts = 4;
      await clock.advance(200);
      inFlight.set('a', 1);
      expect(brittle.hasFreeSlot(SERVICE, 'a')).to.equal(false);
      expect(brittle.hasFreeSlot(SERVICE, 'b')).to.equal(false);
    });

    // Guards against less urgent requests that get a slot before urgent ones.
    it('waits behind those that are at least as urgent', async () => {
      addAnswer(true);
      const order: string[] = [];
      const {signal} = new AbortController();
      const wait = async (name: string, rank: number) => {
        const slot = {service: SERVICE, rank, maxWaitMs: 1000};
        if (await brittle.waitForSlot(slot, signal)) {
          order.push(name);
        }
      };
      const waits = [wait('first', 1), wait('second', 1), wait('urgent', 0)];
      expect(brittle.mustQueue(SERVICE, 1)).to.equal(true);
      for (let count = 0; count < waits.length; count++) {
        brittle.release(SERVICE, 50);
        await clock.advance(0);
      }
      await Promise.all(waits);
      expect(order).to.deep.equal(['urgent', 'first', 'second']);
    });

    // Guards against callers that wait though no slot becomes free in time.
    it('does not wait if none becomes free in time', async () => {
      addAnswer(true);
      const {signal} = new AbortController();
      const slot = {service: SERVICE, rank: 0, maxWaitMs: 10};
      expect(await brittle.waitForSlot(slot, signal)).to.equal(false);
      expect(brittle.addRefused(slot)).to.be.at.least(100);
    });

    // Guards against waiting requests whose callers have left.
    it('stops waiting when it is cancelled or its time is over', async () => {
      addAnswer(true);
      const controller = new AbortController();
      const slot = {service: SERVICE, rank: 0, maxWaitMs: 500};
      const cancelled = brittle.waitForSlot(slot, controller.signal);
      const late = brittle.waitForSlot(slot, new AbortController().signal);
      controller.abort();
      expect(await cancelled).to.equal(false);
      await clock.advance(501);
      expect(await late).to.equal(false);
      expect(brittle.mustQueue(SERVICE, 0)).to.equal(false);
    });

    // Guards against requests that wait for slots of servers that are sound again.
    it('goes on when the service is no longer brittle', async () => {
      addAnswer(true);
      const slot = {service: SERVICE, rank: 0, maxWaitMs: 500};
      const wait = brittle.waitForSlot(slot, new AbortController().signal);
      addAnswer(false);
      expect(await wait).to.equal(true);
    });
  });
});
