import {expect} from 'chai';
import {decideByWait} from '../../src/admission/index.js';
import {ExecutionStatus} from '../../src/errors/index.js';
import {SeededRandom} from '../../src/random/index.js';

/** Prompt tokens an engine computes per millisecond. */
const PREFILL_TOKENS_PER_MS = 100;
const TARGET_MS = 400;
const PROMPT_TOKENS = 6000;

describe('decideByWait', () => {
  const random = new SeededRandom(3);

  it('admits a stream that starts in time', () => {
    expect(decideByWait(0, TARGET_MS, random)).to.equal(undefined);
    expect(decideByWait(TARGET_MS, TARGET_MS, random)).to.equal(undefined);
  });

  it('refuses other streams with a retry time', () => {
    const problem = decideByWait(1400, TARGET_MS, random);
    expect(problem?.status).to.equal(503);
    expect(problem?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(problem?.retryAfterSeconds).to.be.within(1, 2);
  });

  /**
   * Simulates prompts that arrive at a multiple of the rate an engine computes,
   * and returns the share of the engine's capacity whose prompts start in time.
   */
  function simulateLoad(
    load: number,
    admits: (waitMs: number) => boolean,
  ): number {
    const pauseMs = PROMPT_TOKENS / PREFILL_TOKENS_PER_MS / load;
    let freeMs = 0;
    let inTime = 0;
    const count = 2000;
    for (let index = 0; index < count; index++) {
      const nowMs = index * pauseMs;
      const waitMs = Math.max(0, freeMs - nowMs);
      if (!admits(waitMs)) {
        continue;
      }
      freeMs = nowMs + waitMs + PROMPT_TOKENS / PREFILL_TOKENS_PER_MS;
      inTime += waitMs <= TARGET_MS ? 1 : 0;
    }
    return inTime / Math.min(count, count / load);
  }

  for (const load of [0.5, 1, 2, 4]) {
    it(`keeps the throughput of streams in time constant at ${load} times the capacity`, () => {
      const kept = simulateLoad(
        load,
        waitMs => decideByWait(waitMs, TARGET_MS, random) === undefined,
      );
      expect(kept).to.be.at.least(0.95);
    });
  }

  it('is needed: without refusals, hardly any stream starts in time', () => {
    expect(simulateLoad(4, () => true)).to.be.lessThan(0.05);
  });
});
