// Installs the dependencies of the lock file if they are missing, so that a fresh clone can
// be built with one command.
import {execFileSync} from 'node:child_process';
import {existsSync} from 'node:fs';

if (!existsSync('node_modules/.package-lock.json')) {
  console.log('installing the dependencies of package-lock.json');
  execFileSync('npm', ['ci', '--ignore-scripts'], {stdio: 'inherit'});
}
