import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {copyFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';

/** Says when it loads, and what it was told meanwhile. */
const PROGRAM = `(function () {
  process.stdout.write('loading');
  process.stdin.once('data', () => {
    process.stdout.write('loaded');
    process.exit(0);
  });
})`;

describe('the start of the bundled daemon', () => {
  let folder: string;
  let child: ChildProcess;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'sedgefall-start-'));
    copyFileSync('scripts/start_bundle.cjs', join(folder, 'sedgefalld.cjs'));
    copyFileSync(
      'scripts/early_signals.cjs',
      join(folder, 'early_signals.cjs'),
    );
    writeFileSync(join(folder, 'sedgefalld.bundle.cjs'), PROGRAM);
    writeFileSync(join(folder, 'sedgefalld.bundle.bin'), '');
  });

  afterEach(() => {
    child.kill('SIGKILL');
    rmSync(folder, {recursive: true});
  });

  // Guards against a signal to reload that ends a process which still loads.
  it('is not ended by a signal to reload', async () => {
    child = spawn(process.execPath, [join(folder, 'sedgefalld.cjs')]);
    const exit = once(child, 'exit');
    let text = '';
    child.stdout?.on('data', piece => (text += String(piece)));
    await once(child.stdout ?? child, 'data');
    child.kill('SIGHUP');
    child.stdin?.write('go on\n');
    const [code, signal] = await exit;
    expect([code, signal, text]).to.deep.equal([0, null, 'loadingloaded']);
  });
});
