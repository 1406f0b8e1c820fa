// Starts the bundled daemon from the code that was compiled for it, if that
// fits this V8; otherwise V8 compiles the bundle anew and says nothing.
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
