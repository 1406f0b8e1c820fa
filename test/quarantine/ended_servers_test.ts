import {expect} from 'chai';
import {EndedServers} from '../../src/quarantine/index.js';
import {VirtualClock} from '../../src/time/index.js';

const ADDRESS = '10.0.0.1:80';

describe('EndedServers', () => {
  it('looks once for all requests that were lost together', async () => {
    let looks = 0;
    const servers = new EndedServers(new VirtualClock(), async () => {
      looks++;
      return true;
    });
    const ends = await Promise.all(
      [1, 2, 3].map(() => servers.hasEnded(ADDRESS)),
    );
    expect(ends).to.deep.equal([true, true, true]);
    expect(looks).to.equal(1);
  });

  it('looks again later: a server comes and goes', async () => {
    const clock = new VirtualClock();
    let ended = false;
    const servers = new EndedServers(clock, async () => ended);
    expect(await servers.hasEnded(ADDRESS)).to.equal(false);
    ended = true;
    expect(await servers.hasEnded(ADDRESS)).to.equal(true);
    ended = false;
    await clock.advance(200);
    expect(await servers.hasEnded(ADDRESS)).to.equal(false);
  });
});
