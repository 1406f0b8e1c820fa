import {expect} from 'chai';
import {PeerLink, PeerLinkOptions} from '../../src/peer/peer_link.js';
import {SystemClock} from '../../src/time/index.js';

describe('PeerLink', () => {
  for (const port of ['70000', '0', 'x']) {
    // Guards against an address of another host with which `connect` throws: nothing would catch
    // it, and the process would end.
    it(`counts a host at port ${port} as unreachable`, async () => {
      let unreachable = '';
      const link: PeerLink = new PeerLink({
        address: `127.0.0.1:${port}`,
        random: {next: () => 0},
        connection: {clock: new SystemClock()},
        onUnreachable: (address: string) => {
          unreachable = address;
          link.stop();
        },
      } as unknown as PeerLinkOptions);
      await link.run();
      expect(unreachable).to.equal(`127.0.0.1:${port}`);
    });
  }
});
