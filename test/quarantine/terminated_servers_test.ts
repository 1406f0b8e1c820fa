import {expect} from 'chai';
import {TerminatedServers} from '../../src/quarantine/index.js';
import {VirtualClock} from '../../src/time/index.js';

const ADDRESS = '10.0.0.1:80';

describe('TerminatedServers', () => {
  it('checks once for all requests that were lost together', async () => {
    let checks = 0;
    const servers = new TerminatedServers(new VirtualClock(), async () => {
      checks++;
      return true;
    });
    const ends = await Promise.all(
      [1, 2, 3].map(() => servers.hasTerminated(ADDRESS)),
    );
    expect(ends).to.deep.equal([true, true, true]);
    expect(checks).to.equal(1);
  });

  it('checks again later, since a server may restart or terminate', async () => {
    const clock = new VirtualClock();
    let ended = false;
    const servers = new TerminatedServers(clock, async () => ended);
    expect(await servers.hasTerminated(ADDRESS)).to.equal(false);
    ended = true;
    expect(await servers.hasTerminated(ADDRESS)).to.equal(true);
    ended = false;
    await clock.advance(200);
    expect(await servers.hasTerminated(ADDRESS)).to.equal(false);
  });
});
