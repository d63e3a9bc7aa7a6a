/**
 * A client sends bookings for one key with the same Attempt-Id to six machines.
 */
import http from 'node:http';
import {Fleet, configOf, newId, runCase, send, sleep} from '../kit-2/fleet.mjs';
const machines = ['z0', 'z1', 'z2'].flatMap(zone => [
  {zone, service: 'aa', sharded: true, behaviour: {workMs: 20}},
  {zone, service: 'bb', behaviour: {workMs: 30}},
]);
const fleet = new Fleet(machines, '/dev/null');
await runCase(fleet, async () => {
  await fleet.start(
    configOf([
      {name: 'aa', sharded: true, kind: 'non_idempotent'},
      {name: 'bb', kind: 'non_idempotent', timeoutS: 6, aimS: 2},
    ]),
  );
  await sleep(3500);
  const id = 'a'.repeat(16);
  const res = [];
  for (let i = 0; i < 30; i++) {
    const some = await Promise.all(
      [0, 1, 2, 3, 4, 5].map(k =>
        send(fleet, fleet.machines[k], {
          method: 'POST',
          path: '/aa/x',
          host: 'aa.example',
          key: '77',
          body: 'x',
          id,
          deadlineMs: 3000,
        }),
      ),
    );
    res.push(...some.map(a => a.status || a.error));
    await sleep(30);
  }
  const c = {};
  for (const r of res) c[r] = (c[r] ?? 0) + 1;
  console.log(
    c,
    fleet.machines.map(m => JSON.stringify(m.daemonEnd)).join(' '),
  );
  return 0;
});
