import {expect} from 'chai';
import {EndedServers} from '../../src/relay/index.js';
import {createServer} from './relay_fixture.js';

describe('EndedServers', () => {
  it('looks once for all requests that were lost together', async () => {
    let looks = 0;
    const servers = new EndedServers(async () => {
      looks++;
      return true;
    });
    const ends = await Promise.all(
      [1, 2, 3].map(() => servers.hasEnded(createServer('s1'))),
    );
    expect(ends).to.deep.equal([true, true, true]);
    expect(await servers.hasEnded(createServer('s1'))).to.equal(true);
    expect(looks).to.equal(1);
  });

  it('looks again at a server that was there', async () => {
    let ended = false;
    const servers = new EndedServers(async () => ended);
    expect(await servers.hasEnded(createServer('s1'))).to.equal(false);
    ended = true;
    expect(await servers.hasEnded(createServer('s1'))).to.equal(true);
  });
});
