import {expect} from 'chai';
import {RowReplica} from '../../src/replica/index.js';

describe('RowReplica', () => {
  /** Makes a replica whose rows matter up to the first "#". */
  function create() {
    const heard: string[] = [];
    const replica = new RowReplica({
      getSubstance: text => text.split('#')[0] ?? '',
    });
    replica.addListener(row => heard.push(`${row.key}=${row.text ?? 'gone'}`));
    return {replica, heard};
  }

  describe('add', () => {
    it('never takes a row back to a lower version', () => {
      const {replica, heard} = create();
      replica.add({key: 'a', version: 5, text: 'new'}, 'store');
      replica.add({key: 'a', version: 4, text: 'old'}, 'peer');
      expect(replica.getText('a')).to.equal('new');
      expect(heard).to.deep.equal(['a=new']);
    });

    it('keeps a removal against a late row', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 5}, 'store');
      replica.add({key: 'a', version: 4, text: 'late'}, 'peer');
      expect(replica.getText('a')).to.equal(undefined);
    });

    it('makes no news of a heartbeat', () => {
      const {replica, heard} = create();
      replica.add({key: 'a', version: 1, text: 'x#1'}, 'store');
      replica.add({key: 'a', version: 2, text: 'x#2'}, 'store');
      expect(heard).to.have.length(1);
      expect(replica.getNewsVersion()).to.equal(1);
    });
  });

  describe('addSnapshot', () => {
    it('removes what the table no longer has', () => {
      const {replica, heard} = create();
      replica.add({key: 'a', version: 1, text: 'x'}, 'store');
      replica.add({key: 'b', version: 2, text: 'y'}, 'store');
      replica.addSnapshot([{key: 'b', version: 2, text: 'y'}], 7, 'store');
      expect(heard.at(-1)).to.equal('a=gone');
    });

    it('does not remove by a stale read what came later', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 9, text: 'x'}, 'peer');
      replica.addSnapshot([], 7, 'store');
      expect(replica.getText('a')).to.equal('x');
    });
  });

  describe('doubt', () => {
    it('leaves the row, and has peers asked again for what came since', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 3, text: 'x'}, 'store');
      replica.doubt('a');
      replica.add({key: 'b', version: 9, text: 'y'}, 'store');
      expect(replica.getText('a')).to.equal('x');
      expect(replica.getNewsVersion()).to.equal(3);
    });

    it('ends with a peer’s word of the removal', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 3, text: 'x'}, 'store');
      replica.doubt('a');
      replica.add({key: 'b', version: 9, text: 'y'}, 'store');
      replica.add({key: 'a', version: 7}, 'peer');
      expect(replica.getText('a')).to.equal(undefined);
      expect(replica.getNewsVersion()).to.equal(9);
    });

    it('ends with a whole reading of the table', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 3, text: 'x'}, 'store');
      replica.doubt('a');
      replica.addSnapshot([{key: 'a', version: 3, text: 'x'}], 9, 'store');
      replica.setCaughtUp(9);
      expect(replica.getNewsVersion()).to.equal(9);
    });
  });

  describe('listNewsSince', () => {
    it('lists what changed in substance', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 1, text: 'x#1'}, 'store');
      replica.add({key: 'b', version: 2, text: 'y'}, 'store');
      replica.add({key: 'a', version: 3, text: 'x#2'}, 'store');
      const keys = replica.listNewsSince(1).map(row => row.key);
      expect(keys).to.deep.equal(['b']);
    });

    it('is not asked for again once a peer has been caught up with', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 1, text: 'x#1'}, 'store');
      replica.add({key: 'a', version: 6, text: 'x#2'}, 'peer');
      replica.setCaughtUp(6);
      expect(replica.getNewsVersion()).to.equal(6);
    });
  });
});
