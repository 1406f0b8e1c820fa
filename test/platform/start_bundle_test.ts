import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {copyFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';

/** Reports that it is loading, and that it has loaded once it gets input. */
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

  // Guards against a reload signal that terminates the process while it is loading.
  it('survives a reload signal', async () => {
    child = spawn(process.execPath, [join(folder, 'sedgefalld.cjs')]);
    const exit = once(child, 'exit');
    let text = '';
    child.stdout?.on('data', piece => (text += String(piece)));
    await once(child.stdout ?? child, 'data');
    child.kill('SIGHUP');
    child.stdin?.write('continue\n');
    const [code, signal] = await exit;
    expect([code, signal, text]).to.deep.equal([0, null, 'loadingloaded']);
  });
});
