// Bundles the daemon for the users' platform into one file and stores V8's code cache
// next to it, so that the process restarts faster after it was killed.
// CPU time from the start of node until the daemon looks for its settings, minimum of
// 12 runs: bundle 0.30 s, bundle with code cache 0.16 s, an empty program 0.03 s.
import {copyFileSync, readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {Script} from 'node:vm';
import {build} from 'esbuild';

const BUNDLE = 'target/sedgefalld.bundle.cjs';
const CODE_CACHE = 'target/sedgefalld.bundle.bin';
const SETTINGS = 'target/warm-up.toml';
/** Long enough for the daemon to listen and to query the store twice. */
const WARM_UP_MS = 1500;
const WARM_UP_SETTINGS = `
node = "warm-up"
ip = "127.0.0.1"
zone = "here"
internal_ports = [0, 0]
seeds = ["127.0.0.1:1"]
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
control = "127.0.0.1:0"
[bounds]
drain_ms = 2000
grace_s = 8
[platform]
address = "127.0.0.1:1"
`;

/**
 * Omits code that the daemon never calls but would load at every start: the messages of
 * `zod` in other languages, HTTP/2 support of `got`, compression and the log writer of
 * `hdr-histogram-js` (histograms are only read in the process), and the search of `cbor-x`
 * for its native decoder, which reads files of the system.
 */
const omitUnused = {
  name: 'omit-unused',
  setup(bundle) {
    const replace = (filter, contents) =>
      bundle.onLoad({filter}, () => ({contents, loader: 'js'}));
    replace(
      /zod\/v4\/locales\/index\.js$/,
      'export {default as en} from "./en.js";',
    );
    replace(/\/http2-wrapper\/source\/index\.js$/, 'module.exports = {};');
    replace(/\/pako\/(index\.js|dist\/pako\.esm\.mjs)$/, 'export {};');
    replace(
      /hdr-histogram-js\/dist\/HistogramLogWriter\.js$/,
      'module.exports = {default: undefined};',
    );
    bundle.onResolve({filter: /^cbor-extract$/}, () => ({
      path: 'cbor-extract',
      namespace: 'omitted',
    }));
    bundle.onLoad({filter: /.*/, namespace: 'omitted'}, () => ({
      contents: 'module.exports = undefined;',
      loader: 'js',
    }));
  },
};

await build({
  entryPoints: ['platform/sedgefalld.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minifyWhitespace: true,
  minifySyntax: true,
  plugins: [omitUnused],
  banner: {js: '(function (require, module, exports) {'},
  footer: {js: '})'},
  logLevel: 'error',
});

copyFileSync('scripts/start_bundle.cjs', 'target/sedgefalld.cjs');
copyFileSync('scripts/early_signals.cjs', 'target/early_signals.cjs');

// Runs the daemon briefly with an address of the store that does not answer, so that the
// functions that run at every start are in the code cache. V8 compiles the others when they
// are first called.
writeFileSync(SETTINGS, WARM_UP_SETTINGS);
process.env.SEDGEFALL_BOOT = SETTINGS;
const script = new Script(readFileSync(BUNDLE, 'utf8'), {filename: BUNDLE});
const start = script.runInThisContext();
setTimeout(() => {
  writeFileSync(CODE_CACHE, script.createCachedData());
  process.exit(0);
}, WARM_UP_MS);
start(createRequire(import.meta.url), {exports: {}}, {});
