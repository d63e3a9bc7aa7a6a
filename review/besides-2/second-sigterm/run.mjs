/**
 * A daemon gets SIGTERM while it waits for the answers to twelve bookings, and
 * a second SIGTERM half a second later. With TROUBLE=0 the second one is left
 * out. Nothing is killed.
 */
import http from 'node:http';

import {
  Fleet,
  configOf,
  hasTrouble,
  runCase,
  send,
  sleep,
} from '../../kit-2/fleet.mjs';

const BOOKINGS = 12;
const GRACE_MS = 6000;

const machines = ['z0', 'z1', 'z2'].flatMap(zone => [
  {zone, service: 'aa', sharded: true, behaviour: {workMs: 20}},
  {zone, service: 'bb', behaviour: {workMs: 1200}},
]);
const fleet = new Fleet(
  machines,
  new URL('record.txt', import.meta.url).pathname,
);

await runCase(fleet, async () => {
  await fleet.start(
    configOf([
      {name: 'aa', sharded: true},
      {name: 'bb', kind: 'non_idempotent', timeoutS: 3, aimS: 1.5},
    ]),
  );
  await sleep(3500);
  const [machine] = fleet.machines;
  const agent = new http.Agent({keepAlive: true});
  const bookings = Array.from({length: BOOKINGS}, () =>
    send(fleet, machine, {
      method: 'POST',
      path: '/bb/x',
      host: 'bb.example',
      body: 'one plate',
      deadlineMs: 3000,
      agent,
    }),
  );
  await sleep(400);
  fleet.note('SIGTERM');
  machine.daemon.kill('SIGTERM');
  const signalledAt = Date.now();
  await sleep(500);
  if (hasTrouble) {
    fleet.note('second SIGTERM');
    machine.daemon.kill('SIGTERM');
  }
  const answers = await Promise.all(bookings);
  while (machine.daemonEnd === null && Date.now() - signalledAt < GRACE_MS)
    await sleep(50);
  const lost = answers.filter(
    ({id, status}) => status === 0 && fleet.runsOf(id).length > 0,
  );
  const end = machine.daemonEnd;
  const summary = [
    `the daemon ended ${end === null ? 'not' : `${end.at - signalledAt} ms after the first signal: code ${end.code}, signal ${end.signal}`}`,
    `bookings that an upstream had begun and that ended without an answer: ${lost.length} of ${BOOKINGS}`,
  ];
  for (const line of summary) {
    fleet.note(line);
    console.log(line);
  }
  return lost.length > 0 ? 1 : 0;
});
