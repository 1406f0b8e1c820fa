import {expect} from 'chai';
import {CallSchedule, CallStep} from '../../src/prove/call_schedule.js';
import {
  acceptedSurvives,
  atMostOnce,
  refusalsAreTrue,
} from '../../src/prove/call_proofs.js';
import {configurationHolds} from '../../src/prove/configuration_proof.js';
import {leasesExclude} from '../../src/prove/lease_simulation.js';
import {reclaimCutsNothing} from '../../src/prove/stream_proofs.js';

/**
 * Regression tests: shrunk schedules that once violated a promise. Each title
 * names the fault that caused the violation.
 */
describe('faults found by generated histories', () => {
  function at(afterMs: number, step: CallStep): CallSchedule[number] {
    return {afterMs, step};
  }

  function call(host: number, key: number, async = false): CallStep {
    return {kind: 'call', host, key, async, timeoutMs: 300};
  }

  describe('calls', () => {
    async function expectNoViolations(
      proof: typeof atMostOnce,
      schedule: CallSchedule,
    ): Promise<void> {
      expect((await proof.run(schedule, false)).violations).to.deep.equal([]);
    }

    it('a running call was handed over as accepted but not yet dispatched', () =>
      expectNoViolations(atMostOnce, [
        at(0, call(1, 0, true)),
        at(10, {kind: 'leave', host: 1}),
        at(0, call(0, 0)),
        at(0, {kind: 'duplicate', forMs: 100}),
        at(0, call(0, 0)),
      ]));

    it('a book was handed over after a record was durable but before it was marked so', () =>
      expectNoViolations(atMostOnce, [
        at(0, call(0, 0, true)),
        at(10, call(0, 0)),
        at(0, call(0, 0)),
        at(0, {kind: 'leave', host: 1}),
        at(0, {kind: 'freeze', host: 1, forMs: 2000}),
      ]));

    it('a delayed outcome of one attempt was applied to a later attempt', () =>
      expectNoViolations(atMostOnce, [
        at(0, {kind: 'freeze', host: 0, forMs: 2046}),
        at(0, {kind: 'duplicate', forMs: 3062}),
        at(0, call(0, 3)),
        at(0, {kind: 'service', fault: 'answer-lost', forMs: 2152}),
        at(0, call(0, 0)),
        at(0, call(0, 0)),
        at(0, call(0, 0)),
        at(0, {...call(0, 3), timeoutMs: 1500} as CallStep),
      ]));

    it('a caller that joined a running call received "accepted"', () =>
      expectNoViolations(acceptedSurvives, [
        at(0, call(0, 0, true)),
        at(0, {kind: 'service', fault: 'refuses', forMs: 119}),
        at(0, {kind: 'duplicate', forMs: 100}),
        at(0, call(0, 0)),
        at(0, {kind: 'cut', host: 1, forMs: 629}),
        at(0, call(1, 0)),
      ]));

    it('a delayed write of the former holder took the book from the new holder', () =>
      expectNoViolations(acceptedSurvives, [
        at(0, call(1, 0, true)),
        at(0, {kind: 'table', fault: 'answer-lost', forMs: 1111}),
        at(0, {kind: 'restart', host: 1}),
        at(0, call(0, 0)),
        at(0, call(0, 0)),
      ]));

    it('a leaving host did not wait for the running calls of books it had handed over', () =>
      expectNoViolations(acceptedSurvives, [
        at(0, call(1, 0, true)),
        at(0, {kind: 'service', fault: 'refuses', forMs: 100}),
        at(0, call(0, 0)),
        at(10, {kind: 'leave', host: 1}),
        at(0, {kind: 'restart', host: 2}),
      ]));

    it('an outcome was dropped while the new holder was unknown', () =>
      expectNoViolations(acceptedSurvives, [
        at(0, call(1, 2, true)),
        at(10, {kind: 'freeze', host: 0, forMs: 3021}),
        at(0, call(0, 0)),
        at(0, {kind: 'service', fault: 'refuses', forMs: 100}),
      ]));

    it('the last host to leave did not write the entries it held', () =>
      expectNoViolations(acceptedSurvives, [
        at(0, {kind: 'leave', host: 1}),
        at(0, call(0, 1, true)),
        at(10, {kind: 'table', fault: 'down', forMs: 1904}),
        at(0, {kind: 'service', fault: 'refuses', forMs: 100}),
        at(0, {kind: 'leave', host: 2}),
        at(0, {kind: 'restart', host: 0}),
      ]));

    it('an outcome was sent for an attempt that the next holder did not know', () =>
      expectNoViolations(acceptedSurvives, [
        at(0, {kind: 'service', fault: 'refuses', forMs: 1097}),
        at(0, call(0, 2, true)),
        at(900, call(0, 0)),
        at(100, call(0, 0)),
        at(10, {kind: 'cut', host: 0, forMs: 100}),
        at(100, call(0, 0)),
        at(0, {kind: 'freeze', host: 0, forMs: 3931}),
      ]));

    it('an in-doubt record remained through two changes of holder', () =>
      expectNoViolations(acceptedSurvives, [
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

    it('all hosts left, and the next host had to continue their calls', () =>
      expectNoViolations(acceptedSurvives, [
        at(0, {kind: 'service', fault: 'refuses', forMs: 100}),
        at(0, call(0, 0, true)),
        at(10, {kind: 'leave', host: 2}),
        at(0, {kind: 'leave', host: 0}),
        at(0, {kind: 'leave', host: 1}),
      ]));

    it('a delayed duplicate ran a call that had been refused', () =>
      expectNoViolations(refusalsAreTrue, [
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
    it('a newly started host reported a revision in force for hosts it did not know', async () => {
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
    it('a finished stream kept its slot on the server', async () => {
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
    it('a claim between the read and the write of a release kept the lease', async () => {
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

    it('a claim answered after the release granted the lease', async () => {
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
