// Installs the dependencies if they are missing, then builds, so that commands
// work in a fresh checkout.
import {spawnSync} from 'node:child_process';
import {existsSync} from 'node:fs';

// Output goes to standard error: standard output belongs to the actual command.
const run = (command, args) => {
  const result = spawnSync(command, args, {stdio: ['ignore', 2, 2]});
  if (result.status !== 0) process.exit(result.status ?? 1);
};

if (!existsSync('node_modules/typescript')) run('npm', ['ci', '--silent']);
run('npx', ['tsc', '-b']);
