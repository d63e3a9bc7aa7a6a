/** @fileoverview Tests of the start, control port and end of processes. */

import test from 'ava';

import {get} from '../control/client.js';
import {startEmulatorProcess} from './processes.js';

const CASES: ReadonlyArray<{subject: string; args: string[]}> = [
  {subject: 'platform', args: []},
  {subject: 'server', args: ['--host', 'h1', '--service', 'finder']},
  {subject: 'relay', args: ['--target', '127.0.0.1:9']},
];

for (const {subject, args} of CASES) {
  test(`the ${subject} process prints its ports and is killed on abort`, async t => {
    const stop = new AbortController();
    t.teardown(() => stop.abort());
    const entry = `emulator/dist/${subject}/main.js`;
    const program = {name: subject, entry, args};
    const {child, ports} = await startEmulatorProcess(program, stop.signal);
    const base = `http://127.0.0.1:${ports.controlPort}`;
    t.is((await get(`${base}/ready`)).status, 204);
    t.is((await get(`${base}/ledger`)).status, 200);
    stop.abort();
    t.is(await child.exited, 'SIGKILL');
  });
}

const ENDS = [
  {signal: 'SIGTERM', failure: null},
  {signal: 'SIGKILL', failure: null},
  {signal: 'SIGABRT', failure: 'SIGABRT'},
] as const;

// Guards against a process that counts as killed by the test, although it ended
// by itself or by a signal that asked for something else.
for (const {signal, failure} of ENDS) {
  test(`a process that gets ${signal}: failure ${failure}`, async t => {
    const stop = new AbortController();
    t.teardown(() => stop.abort());
    const entry = 'emulator/dist/platform/main.js';
    const program = {name: 'platform', entry, args: []};
    const {child} = await startEmulatorProcess(program, stop.signal);
    t.is(child.failure(), null);
    child.kill(signal);
    await child.exited;
    t.is(child.failure(), failure);
  });
}

test('an unknown argument ends the process with an error', async t => {
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const program = {
    name: 'platform',
    entry: 'emulator/dist/platform/main.js',
    args: ['--nonsense', '1'],
  };
  const error = await t.throwsAsync(startEmulatorProcess(program, stop.signal));
  t.true(error.message.includes('nonsense'));
});
