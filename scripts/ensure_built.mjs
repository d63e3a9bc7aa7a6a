// Installs what is missing and builds, so that a fresh checkout can run.
import {spawnSync} from 'node:child_process';
import {existsSync} from 'node:fs';

const step = (command, args) => {
  const done = spawnSync(command, args, {stdio: ['ignore', 2, 2]});
  if (done.status !== 0) process.exit(done.status ?? 1);
};

if (!existsSync('node_modules/typescript')) step('npm', ['ci', '--silent']);
step('npx', ['tsc', '-b']);
