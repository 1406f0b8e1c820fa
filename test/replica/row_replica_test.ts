import {expect} from 'chai';
import {RowReplica} from '../../src/replica/index.js';

describe('RowReplica', () => {
  /** Creates a replica; the significant content of a row ends at the first "#". */
  function create() {
    const changes: string[] = [];
    const replica = new RowReplica({
      getSignificantContent: text => text.split('#')[0] ?? '',
    });
    replica.addListener(row =>
      changes.push(`${row.key}=${row.text ?? 'removed'}`),
    );
    return {replica, changes};
  }

  describe('add', () => {
    it('never reverts a row to a lower version', () => {
      const {replica, changes} = create();
      replica.add({key: 'a', version: 5, text: 'new'}, 'store');
      replica.add({key: 'a', version: 4, text: 'old'}, 'peer');
      expect(replica.getText('a')).to.equal('new');
      expect(changes).to.deep.equal(['a=new']);
    });

    it('keeps a row removed when an older version of it arrives', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 5}, 'store');
      replica.add({key: 'a', version: 4, text: 'late'}, 'peer');
      expect(replica.getText('a')).to.equal(undefined);
    });

    it('does not report a heartbeat, which changes no significant content', () => {
      const {replica, changes} = create();
      const first = {key: 'a', version: 1, text: 'x#1'};
      replica.addChanges({rows: [first], after: 0, version: 1}, 'store');
      const beat = {key: 'a', version: 2, text: 'x#2'};
      replica.addChanges({rows: [beat], after: 1, version: 2}, 'store');
      expect(changes).to.have.length(1);
      expect(replica.getVersion()).to.equal(1);
    });
  });

  describe('addReading', () => {
    it('ignores a peer’s row that was already removed when the table was read', () => {
      const {replica} = create();
      const b = {key: 'b', version: 2, text: 'y'};
      replica.addReading([b], 7, 'store');
      replica.add({key: 'a', version: 5, text: 'left'}, 'peer');
      replica.add({key: 'c', version: 9, text: 'new'}, 'peer');
      expect(replica.getText('a')).to.equal(undefined);
      expect(replica.getText('c')).to.equal('new');
      expect(replica.getVersion()).to.equal(0);
    });

    it('passes on the removal of a row it lacked, even after an older snapshot', () => {
      const {replica} = create();
      const a = {key: 'a', version: 5, text: 'left'};
      const b = {key: 'b', version: 2, text: 'y'};
      replica.addReading([b], 7, 'store');
      replica.addSnapshot([a, b], 6, 'peer');
      const removal = {key: 'a', version: 7};
      const state = {version: 7, digest: 0};
      replica.addPeerChanges({rows: [removal], after: 6, state}, 'peer');

      const {replica: other} = create();
      other.addSnapshot([a, b], 6, 'store');
      other.addPeerChanges(replica.listChangesSince(6), 'peer');
      expect(other.getText('a')).to.equal(undefined);
    });
  });

  describe('addSnapshot', () => {
    it('removes rows that the table no longer has', () => {
      const {replica, changes} = create();
      replica.add({key: 'a', version: 1, text: 'x'}, 'store');
      replica.add({key: 'b', version: 2, text: 'y'}, 'store');
      replica.addSnapshot([{key: 'b', version: 2, text: 'y'}], 7, 'store');
      expect(changes.at(-1)).to.equal('a=removed');
    });

    it('does not remove rows that are newer than the snapshot', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 9, text: 'x'}, 'peer');
      replica.addSnapshot([], 7, 'store');
      expect(replica.getText('a')).to.equal('x');
    });
  });

  describe('rows in doubt', () => {
    /** Creates a replica complete up to 9 in which "a", known at 3, is in doubt. */
    function createInDoubt() {
      const {replica} = create();
      const a = {key: 'a', version: 3, text: 'x'};
      replica.addChanges({rows: [a], after: 0, version: 3}, 'store');
      replica.markInDoubt('a');
      const b = {key: 'b', version: 9, text: 'y'};
      replica.addChanges({rows: [b], after: 3, version: 9}, 'store');
      return replica;
    }

    it('keeps the row, and lowers the version to the last known one of the row', () => {
      const replica = createInDoubt();
      expect(replica.getText('a')).to.equal('x');
      expect(replica.getVersion()).to.equal(3);
    });

    it('is resolved when a peer reports the removal', () => {
      const replica = createInDoubt();
      replica.add({key: 'a', version: 7}, 'peer');
      expect(replica.getText('a')).to.equal(undefined);
      expect(replica.getVersion()).to.equal(9);
    });

    it('is resolved by a snapshot of the table', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 3, text: 'x'}, 'store');
      replica.markInDoubt('a');
      replica.addSnapshot([{key: 'a', version: 3, text: 'x'}], 9, 'store');
      expect(replica.getVersion()).to.equal(9);
    });
  });

  describe('listChangesSince', () => {
    it('lists rows whose significant content changed', () => {
      const {replica} = create();
      replica.add({key: 'a', version: 1, text: 'x#1'}, 'store');
      replica.add({key: 'b', version: 2, text: 'y'}, 'store');
      replica.add({key: 'a', version: 3, text: 'x#2'}, 'store');
      const {rows, after} = replica.listChangesSince(1);
      expect(rows.map(row => row.key)).to.deep.equal(['b']);
      expect(after).to.equal(1);
    });

    it('returns the whole table if removals may have been missed', () => {
      const {replica} = create();
      replica.addSnapshot([{key: 'b', version: 2, text: 'y'}], 9, 'store');
      const {rows, after, state} = replica.listChangesSince(5);
      expect(rows.map(row => row.key)).to.deep.equal(['b']);
      expect(after).to.equal(undefined);
      expect(state.version).to.equal(9);
    });

    it('returns the whole table if a removal is no longer kept', () => {
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

  describe('changes of a peer', () => {
    it('stays at its version if earlier changes are missing', () => {
      const {replica} = create();
      const a = {key: 'a', version: 100, text: 'x'};
      replica.addSnapshot([a], 100, 'store');
      const b = {key: 'b', version: 120, text: 'y'};
      const state = {version: 120, digest: 1};
      const isComplete = replica.addPeerChanges(
        {rows: [b], after: 110, state},
        'peer',
      );
      expect(isComplete).to.equal(false);
      expect(replica.getText('b')).to.equal('y');
      expect(replica.getVersion()).to.equal(100);
    });

    it('becomes complete if the peer has the same rows, despite a gap', () => {
      const {replica} = create();
      const {replica: other} = create();
      const a = {key: 'a', version: 100, text: 'x'};
      const b = {key: 'b', version: 120, text: 'y'};
      replica.addSnapshot([a], 100, 'store');
      other.addSnapshot([a, b], 130, 'store');
      const changes = {rows: [b], after: 110, state: other.getState()};
      expect(replica.addPeerChanges(changes, 'peer')).to.equal(true);
      expect(replica.getState()).to.deep.equal(other.getState());
    });

    it('adopts the peer’s version once all its changes are merged', () => {
      const {replica} = create();
      const {replica: other} = create();
      other.addSnapshot([{key: 'a', version: 6, text: 'x#2'}], 6, 'store');
      replica.add({key: 'a', version: 1, text: 'x#1'}, 'store');
      replica.addPeerChanges(other.listChangesSince(0), 'peer');
      expect(replica.getVersion()).to.equal(6);
    });
  });

  describe('getState', () => {
    it('has the same digest for the same rows, whatever their order and history', () => {
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
