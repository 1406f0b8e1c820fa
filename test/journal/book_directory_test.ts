import {expect} from 'chai';
import {BookDirectory} from '../../src/journal/index.js';

const BOOK = 'slot-01';

describe('BookDirectory', () => {
  let directory: BookDirectory;

  beforeEach(() => {
    directory = new BookDirectory('pdx-entry-1');
  });

  it('prefers the higher fence, and under an equal fence the later claim', () => {
    directory.add({book: BOOK, host: 'tac-entry-1', fence: 2});
    directory.add({book: BOOK, host: 'tac-entry-2', fence: 1});
    expect(directory.getHolder(BOOK)).to.equal('tac-entry-1');
    directory.add({book: BOOK, host: 'tac-entry-2', fence: 2});
    expect(directory.getHolder(BOOK)).to.equal('tac-entry-2');
  });

  it('keeps a received book when a claim of its former holder arrives late', () => {
    directory.add({book: BOOK, host: 'tac-entry-2', fence: 1});
    directory.add({book: BOOK, host: 'pdx-entry-1', fence: 1});
    directory.add({book: BOOK, host: 'tac-entry-2', fence: 1});
    expect(directory.getHolder(BOOK)).to.equal('pdx-entry-1');
  });

  it('gives a held book up to a higher fence, and when it is handed over', () => {
    directory.add({book: BOOK, host: 'pdx-entry-1', fence: 1});
    directory.handOver({book: BOOK, host: 'tac-entry-1', fence: 1});
    expect(directory.getHolder(BOOK)).to.equal('tac-entry-1');
    directory.add({book: BOOK, host: 'pdx-entry-1', fence: 2});
    directory.add({book: BOOK, host: 'tac-entry-2', fence: 3});
    expect(directory.getHolder(BOOK)).to.equal('tac-entry-2');
  });
});
