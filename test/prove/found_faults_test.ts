import {expect} from 'chai';
import {CallSchedule, CallStep} from '../../src/prove/call_schedule.js';
import {
  acceptedSurvives,
  atMostOnce,
  refusalsAreTrue,
} from '../../src/prove/call_proofs.js';
import {configurationHolds} from '../../src/prove/configuration_proof.js';
import {leasesExclude} from '../../src/prove/lease_world.js';
import {reclaimCutsNothing} from '../../src/prove/stream_proofs.js';

/** Shrunk schedules that once broke a promise; each names its cause. */
describe('faults that proofs have found', () => {
  function at(afterMs: number, step: CallStep): CallSchedule[number] {
    return {afterMs, step};
  }

  function call(host: number, key: number, async = false): CallStep {
    return {kind: 'call', host, key, async, timeoutMs: 300};
  }

  describe('calls', () => {
    async function doTest(
      proof: typeof atMostOnce,
      schedule: CallSchedule,
    ): Promise<void> {
      expect((await proof.run(schedule, false)).violations).to.deep.equal([]);
    }

    it('a call under way was handed over as merely accepted', () =>
      doTest(atMostOnce, [
        at(0, call(1, 0, true)),
        at(10, {kind: 'leave', host: 1}),
        at(0, call(0, 0)),
        at(0, {kind: 'duplicate', forMs: 100}),
        at(0, call(0, 0)),
      ]));

    it('a book was handed over between a record and its notice', () =>
      doTest(atMostOnce, [
        at(0, call(0, 0, true)),
        at(10, call(0, 0)),
        at(0, call(0, 0)),
        at(0, {kind: 'leave', host: 1}),
        at(0, {kind: 'freeze', host: 1, forMs: 2000}),
      ]));

    it('late word of one attempt was taken for word of a later one', () =>
      doTest(atMostOnce, [
        at(0, {kind: 'freeze', host: 0, forMs: 2046}),
        at(0, {kind: 'duplicate', forMs: 3062}),
        at(0, call(0, 3)),
        at(0, {kind: 'service', fault: 'answer-lost', forMs: 2152}),
        at(0, call(0, 0)),
        at(0, call(0, 0)),
        at(0, call(0, 0)),
        at(0, {...call(0, 3), timeoutMs: 1500} as CallStep),
      ]));

    it('a caller that joined a running call was told "accepted"', () =>
      doTest(acceptedSurvives, [
        at(0, call(0, 0, true)),
        at(0, {kind: 'service', fault: 'refuses', forMs: 119}),
        at(0, {kind: 'duplicate', forMs: 100}),
        at(0, call(0, 0)),
        at(0, {kind: 'cut', host: 1, forMs: 629}),
        at(0, call(1, 0)),
      ]));

    it('a late write of the old holder took the book from the new one', () =>
      doTest(acceptedSurvives, [
        at(0, call(1, 0, true)),
        at(0, {kind: 'table', fault: 'answer-lost', forMs: 1111}),
        at(0, {kind: 'restart', host: 1}),
        at(0, call(0, 0)),
        at(0, call(0, 0)),
      ]));

    it('a leaving host did not wait for the calls of books handed on', () =>
      doTest(acceptedSurvives, [
        at(0, call(1, 0, true)),
        at(0, {kind: 'service', fault: 'refuses', forMs: 100}),
        at(0, call(0, 0)),
        at(10, {kind: 'leave', host: 1}),
        at(0, {kind: 'restart', host: 2}),
      ]));

    it('an outcome was dropped while the new holder was not known', () =>
      doTest(acceptedSurvives, [
        at(0, call(1, 2, true)),
        at(10, {kind: 'freeze', host: 0, forMs: 3021}),
        at(0, call(0, 0)),
        at(0, {kind: 'service', fault: 'refuses', forMs: 100}),
      ]));

    it('the last host to leave did not write what it knew', () =>
      doTest(acceptedSurvives, [
        at(0, {kind: 'leave', host: 1}),
        at(0, call(0, 1, true)),
        at(10, {kind: 'table', fault: 'down', forMs: 1904}),
        at(0, {kind: 'service', fault: 'refuses', forMs: 100}),
        at(0, {kind: 'leave', host: 2}),
        at(0, {kind: 'restart', host: 0}),
      ]));

    it('word was sent of an attempt that the next holder never saw', () =>
      doTest(acceptedSurvives, [
        at(0, {kind: 'service', fault: 'refuses', forMs: 1097}),
        at(0, call(0, 2, true)),
        at(900, call(0, 0)),
        at(100, call(0, 0)),
        at(10, {kind: 'cut', host: 0, forMs: 100}),
        at(100, call(0, 0)),
        at(0, {kind: 'freeze', host: 0, forMs: 3931}),
      ]));

    it('a record in doubt outlived two changes of holder', () =>
      doTest(acceptedSurvives, [
        at(0, {kind: 'leave', host: 2}),
        at(900, {kind: 'cut', host: 0, forMs: 100}),
        at(900, {kind: 'cut', host: 0, forMs: 100}),
        at(0, call(2, 2, true)),
        at(100, {kind: 'table', fault: 'answer-lost', forMs: 2101}),
        at(100, call(0, 0)),
        at(0, call(0, 0)),
        at(0, {kind: 'service', fault: 'refuses', forMs: 100}),
        at(0, {kind: 'restart', host: 0}),
      ]));

    it('all hosts left, and the next one had to go on', () =>
      doTest(acceptedSurvives, [
        at(0, {kind: 'service', fault: 'refuses', forMs: 100}),
        at(0, call(0, 0, true)),
        at(10, {kind: 'leave', host: 2}),
        at(0, {kind: 'leave', host: 0}),
        at(0, {kind: 'leave', host: 1}),
      ]));

    it('a copy that came late ran what had been refused', () =>
      doTest(refusalsAreTrue, [
        at(0, {kind: 'cut', host: 2, forMs: 100}),
        at(0, {...call(0, 1), timeoutMs: 5000} as CallStep),
        at(0, {kind: 'table', fault: 'answer-lost', forMs: 1006}),
        at(0, {kind: 'freeze', host: 0, forMs: 100}),
        at(0, {kind: 'restart', host: 1}),
        at(0, {kind: 'duplicate', forMs: 1540}),
        at(0, call(0, 0)),
        at(0, call(0, 0)),
      ]));
  });

  describe('configuration', () => {
    it('a host that had just started spoke for hosts it had not met', async () => {
      const change = (host: number, record: number) => ({
        afterMs: 0,
        step: {kind: 'change' as const, host, record, version: 1},
      });
      const report = await configurationHolds.run(
        [
          {afterMs: 0, step: {kind: 'restart', host: 3}},
          change(2, 1),
          change(3, 0),
          change(0, 0),
        ],
        false,
      );
      expect(report.violations).to.deep.equal([]);
    });
  });

  describe('streams', () => {
    it('a finished stream kept its place on the server', async () => {
      const generate = {
        afterMs: 0,
        step: {kind: 'generate' as const, prompt: 0, tokens: 1},
      };
      const reclaim = (engine: number) => ({
        afterMs: 0,
        step: {kind: 'reclaim' as const, engine, noticeMs: 0},
      });
      const report = await reclaimCutsNothing.run(
        [
          generate,
          generate,
          reclaim(1),
          generate,
          generate,
          generate,
          reclaim(0),
        ],
        false,
      );
      expect(report.violations).to.deep.equal([]);
    });
  });

  describe('leases', () => {
    it('a claim between the halves of a release kept the lease', async () => {
      const report = await leasesExclude.run(
        [
          {afterMs: 3000, step: {kind: 'late-orders', forMs: 300}},
          {afterMs: 3000, step: {kind: 'table', fault: 'slow', forMs: 300}},
          {afterMs: 0, step: {kind: 'release', host: 0}},
          {afterMs: 0, step: {kind: 'table', fault: 'none', forMs: 300}},
          {afterMs: 0, step: {kind: 'freeze', host: 0, forMs: 300}},
        ],
        false,
      );
      expect(report.violations).to.deep.equal([]);
    });

    it('an answer that came after the release granted the lease', async () => {
      const report = await leasesExclude.run(
        [
          {
            afterMs: 0,
            step: {kind: 'table', fault: 'answer-late', forMs: 300},
          },
          {afterMs: 0, step: {kind: 'freeze', host: 1, forMs: 300}},
          {afterMs: 100, step: {kind: 'release', host: 0}},
        ],
        false,
      );
      expect(report.violations).to.deep.equal([]);
    });
  });
});
