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
      const first = {key: 'a', version: 1, text: 'x#1'};
      replica.addChanges({rows: [first], after: 0, version: 1}, 'store');
      const beat = {key: 'a', version: 2, text: 'x#2'};
      replica.addChanges({rows: [beat], after: 1, version: 2}, 'store');
      expect(heard).to.have.length(1);
      expect(replica.getNewsVersion()).to.equal(1);
    });
  });

  describe('addReading', () => {
    it('takes no row from a peer that was gone when the table was read', () => {
      const {replica} = create();
      const b = {key: 'b', version: 2, text: 'y'};
      replica.addReading([b], 7, 'store');
      replica.add({key: 'a', version: 5, text: 'left'}, 'peer');
      replica.add({key: 'c', version: 9, text: 'new'}, 'peer');
      expect(replica.getText('a')).to.equal(undefined);
      expect(replica.getText('c')).to.equal('new');
      expect(replica.getNewsVersion()).to.equal(0);
    });

    it('has peers remove rows that it lacked, even after an older snapshot', () => {
      const {replica} = create();
      const a = {key: 'a', version: 5, text: 'left'};
      const b = {key: 'b', version: 2, text: 'y'};
      replica.addReading([b], 7, 'store');
      replica.addSnapshot([a, b], 6, 'peer');
      const removal = {key: 'a', version: 7};
      const state = {version: 7, digest: 0};
      replica.addTold({rows: [removal], after: 6, state}, 'peer');

      const {replica: other} = create();
      other.addSnapshot([a, b], 6, 'store');
      other.addTold(replica.listChangesSince(6), 'peer');
      expect(other.getText('a')).to.equal(undefined);
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
    /** Makes a replica that doubts "a", known at 3, and is complete up to 9. */
    function createInDoubt() {
      const {replica} = create();
      const a = {key: 'a', version: 3, text: 'x'};
      replica.addChanges({rows: [a], after: 0, version: 3}, 'store');
      replica.doubt('a');
      const b = {key: 'b', version: 9, text: 'y'};
      replica.addChanges({rows: [b], after: 3, version: 9}, 'store');
      return replica;
    }

    it('leaves the row, and has peers asked again for what came since', () => {
      const replica = createInDoubt();
      expect(replica.getText('a')).to.equal('x');
      expect(replica.getNewsVersion()).to.equal(3);
    });

    it('ends with a peer’s word of the removal', () => {
      const replica = createInDoubt();
      replica.add({key: 'a', version: 7}, 'peer');
      expect(replica.getText('a')).to.equal(undefined);
      expect(replica.getNewsVersion()).to.equal(9);
    });

    it('ends with a whole reading of the table', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 3, text: 'x'}, 'store');
      replica.doubt('a');
      replica.addSnapshot([{key: 'a', version: 3, text: 'x'}], 9, 'store');
      expect(replica.getNewsVersion()).to.equal(9);
    });
  });

  describe('listChangesSince', () => {
    it('lists what changed in substance', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 1, text: 'x#1'}, 'store');
      replica.add({key: 'b', version: 2, text: 'y'}, 'store');
      replica.add({key: 'a', version: 3, text: 'x#2'}, 'store');
      const {rows, after} = replica.listChangesSince(1);
      expect(rows.map(row => row.key)).to.deep.equal(['b']);
      expect(after).to.equal(1);
    });

    it('tells the whole table where removals may have been missed', () => {
      const {replica} = create();
      replica.addSnapshot([{key: 'b', version: 2, text: 'y'}], 9, 'store');
      const {rows, after, state} = replica.listChangesSince(5);
      expect(rows.map(row => row.key)).to.deep.equal(['b']);
      expect(after).to.equal(undefined);
      expect(state.version).to.equal(9);
    });

    it('tells the whole table where a removal was forgotten', () => {
      const {replica} = create();
      for (let version = 1; version <= 1002; version++) {
        const row = {key: `s${version}`, version};
        const after = version - 1;
        replica.addChanges({rows: [row], after, version}, 'store');
      }
      expect(replica.listChangesSince(0).after).to.equal(undefined);
      expect(replica.listChangesSince(5).after).to.equal(5);
    });
  });

  describe('addTold', () => {
    it('is complete only as far as nothing is missing before', () => {
      const {replica} = create();
      const a = {key: 'a', version: 100, text: 'x'};
      replica.addSnapshot([a], 100, 'store');
      const b = {key: 'b', version: 120, text: 'y'};
      const state = {version: 120, digest: 1};
      const isComplete = replica.addTold(
        {rows: [b], after: 110, state},
        'peer',
      );
      expect(isComplete).to.equal(false);
      expect(replica.getText('b')).to.equal('y');
      expect(replica.getNewsVersion()).to.equal(100);
    });

    it('is complete where the peer holds the same, whatever came between', () => {
      const {replica} = create();
      const {replica: other} = create();
      const a = {key: 'a', version: 100, text: 'x'};
      const b = {key: 'b', version: 120, text: 'y'};
      replica.addSnapshot([a], 100, 'store');
      other.addSnapshot([a, b], 130, 'store');
      const told = {rows: [b], after: 110, state: other.getState()};
      expect(replica.addTold(told, 'peer')).to.equal(true);
      expect(replica.getState()).to.deep.equal(other.getState());
    });

    it('is not asked for again once a peer has been caught up with', () => {
      const {replica} = create();
      const {replica: other} = create();
      other.addSnapshot([{key: 'a', version: 6, text: 'x#2'}], 6, 'store');
      replica.add({key: 'a', version: 1, text: 'x#1'}, 'store');
      replica.addTold(other.listChangesSince(0), 'peer');
      expect(replica.getNewsVersion()).to.equal(6);
    });
  });

  describe('getState', () => {
    it('is the same for the same rows, in any order and after any history', () => {
      const {replica} = create();
      const {replica: other} = create();
      const a = {key: 'a', version: 5, text: 'x#1'};
      const b = {key: 'b', version: 6, text: 'y'};
      replica.addSnapshot([a, b], 9, 'store');
      other.add({key: 'c', version: 1, text: 'z'}, 'store');
      other.add(b, 'store');
      other.add({key: 'a', version: 2, text: 'w'}, 'store');
      other.add({key: 'a', version: 8, text: 'x#7'}, 'store');
      other.add({key: 'c', version: 7}, 'store');
      expect(other.getState().digest).to.equal(replica.getState().digest);
      other.add({key: 'b', version: 9, text: 'v'}, 'store');
      expect(other.getState().digest).not.to.equal(replica.getState().digest);
    });
  });
});
