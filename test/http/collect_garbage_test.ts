import {expect} from 'chai';
import {collectGarbage, Garbage} from '../../src/http/collect_garbage.js';

const OBJECTS = 100;

describe('collectGarbage', () => {
  // Guards against a collection of young objects where all are meant, which V8 does without an error.
  it('collects all objects that nothing refers to', async () => {
    const references = Array.from({length: OBJECTS}, () => new WeakRef({}));
    // A reference keeps its object until the end of the turn in which it was created.
    await new Promise(resolve => setImmediate(resolve));
    collectGarbage(Garbage.ALL);
    expect(references.filter(reference => reference.deref())).to.deep.equal([]);
  });

  it('leaves objects that are in use', () => {
    const used = Array.from({length: OBJECTS}, (_, index) => ({index}));
    collectGarbage(Garbage.YOUNG);
    collectGarbage(Garbage.ALL);
    expect(used.at(-1)).to.deep.equal({index: OBJECTS - 1});
  });
});
