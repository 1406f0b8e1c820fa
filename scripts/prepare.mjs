// Installs the locked dependencies once, so that a fresh clone needs one command.
import {execFileSync} from 'node:child_process';
import {existsSync} from 'node:fs';

if (!existsSync('node_modules/.package-lock.json')) {
  console.log('installing the locked dependencies');
  execFileSync('npm', ['ci', '--ignore-scripts'], {stdio: 'inherit'});
}
