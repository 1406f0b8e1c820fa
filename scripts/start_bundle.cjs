// Starts the bundled daemon with its code cache. If this version of V8 rejects the cache, it
// compiles the bundle again without a message.
require('./early_signals.cjs');
const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

const filename = join(__dirname, 'sedgefalld.bundle.cjs');
const script = new Script(readFileSync(filename, 'utf8'), {
  filename,
  cachedData: readFileSync(join(__dirname, 'sedgefalld.bundle.bin')),
});
script.runInThisContext()(require, module, exports);
