import {execFile} from 'node:child_process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';

/** Exit code and output of a program. */
interface ProgramResult {
  readonly code: number;
  readonly output: string;
}

function run(
  program: string,
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<ProgramResult> {
  return new Promise(resolve => {
    const options = {env: {...process.env, ...env}};
    execFile(
      process.execPath,
      [`dist/platform/${program}.js`, ...args],
      options,
      (error, stdout, stderr) =>
        resolve({
          code: typeof error?.code === 'number' ? error.code : 0,
          output: stdout + stderr,
        }),
    );
  });
}

describe('programs for the platform', () => {
  let invalidPath: string;

  before(async () => {
    invalidPath = join(await mkdtemp(join(tmpdir(), 'sedgefall-')), 'bad.toml');
    await writeFile(invalidPath, 'node = "a"\n');
  });

  it('check_settings names the field and the remedy in one line', async () => {
    const {code, output} = await run('check_settings', [invalidPath]);
    expect(code).to.equal(2);
    expect(output.trim().split('\n')).to.have.length(1);
    expect(output).to.contain('ip:');
  });

  it('sedgefalld does not start with an invalid file', async () => {
    const {code, output} = await run('sedgefalld', [], {
      SEDGEFALL_BOOT: invalidPath,
    });
    expect(code).to.equal(2);
    expect(output.trim().split('\n')).to.have.length(1);
  });

  it('sedgefalld reports that it cannot read the file if the path is empty', async () => {
    const {code, output} = await run('sedgefalld', [], {SEDGEFALL_BOOT: ''});
    expect(code).to.equal(2);
    expect(output).to.contain('cannot be read');
  });
});
