/**
 * Twelve clients each send a booking and, before it is answered, an idempotent
 * request on the same connection, whose head takes them half a second. Meanwhile
 * the process of their daemon stands still for four seconds. With TROUBLE=0 it
 * doesn't. With TROUBLE=head it doesn't either, but the second head stops short
 * of its end, and the upstreams are slow.
 */
import net from 'node:net';

import {
  Fleet,
  configOf,
  hasTrouble,
  newId,
  runCase,
  sleep,
} from '../kit-2/fleet.mjs';

const CLIENTS = 12;
const DEADLINE_MS = 6000;
const HEAD_MS = 500;
const FREEZE_MS = 4000;
/** These statuses promise that the request has not run and never will. */
const PROMISES = [408, 421, 429, 503];
const stopsShort = process.env.TROUBLE === 'head';

const machines = ['z0', 'z1', 'z2'].flatMap(zone => [
  {zone, service: 'aa', sharded: true, behaviour: {workMs: 20}},
  {zone, service: 'bb', behaviour: {workMs: stopsShort ? 4200 : 300}},
]);
const fleet = new Fleet(
  machines,
  new URL('record.txt', import.meta.url).pathname,
);

/** Resolves to the id of the booking and the statuses on its connection. */
async function connect(machine) {
  const [id, next] = [newId(), newId()];
  const socket = net.connect(fleet.outbound, machine.ip);
  let received = '';
  let isOpen = true;
  socket.on('error', () => undefined);
  socket.on('data', bytes => (received += bytes.toString('latin1')));
  socket.on('close', () => (isOpen = false));
  const statuses = () =>
    [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) =>
      Number(status),
    );
  const until = Date.now() + DEADLINE_MS;
  fleet.note(`client ${machine.name} sends ${id} POST /bb/x`);
  socket.write(
    `POST /bb/x HTTP/1.1\r\nHost: bb.example\r\nAttempt-Id: ${id}\r\n` +
      `Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: 9\r\n\r\none plate`,
  );
  await sleep(50);
  fleet.note(`client ${machine.name} begins to send ${next} GET /aa/x`);
  socket.write('GET /aa/x HTTP/1.1\r\nHost: aa.example\r\n');
  await sleep(HEAD_MS);
  if (!stopsShort) {
    socket.write(
      `Attempt-Id: ${next}\r\nShard-Key: 7\r\nDeadline-Ms: 5000\r\n\r\n`,
    );
    fleet.note(`client ${machine.name} has sent ${next}`);
  }
  while (isOpen && statuses().length < 2 && Date.now() < until) await sleep(20);
  const end = isOpen ? '' : ', and the daemon closed the connection';
  fleet.note(
    `client ${machine.name} got [${statuses().join(', ')}] for ${id}, ${next}${end}`,
  );
  socket.destroy();
  return {id, status: statuses()[0] ?? 0};
}

await runCase(fleet, async () => {
  await fleet.start(
    configOf([
      {name: 'aa', sharded: true},
      {name: 'bb', kind: 'non_idempotent', timeoutS: 5, aimS: 2},
    ]),
  );
  await sleep(3500);
  const [machine] = fleet.machines;
  const bookings = Array.from({length: CLIENTS}, () => connect(machine));
  if (hasTrouble && !stopsShort) {
    await sleep(250);
    fleet.note('the daemon stands still');
    machine.daemon.kill('SIGSTOP');
    await sleep(FREEZE_MS);
    machine.daemon.kill('SIGCONT');
    fleet.note('the daemon continues');
  }
  const answers = await Promise.all(bookings);
  const statuses = {};
  for (const {status} of answers)
    statuses[status] = (statuses[status] ?? 0) + 1;
  const refused = answers.filter(
    ({id, status}) => PROMISES.includes(status) && fleet.runsOf(id).length > 0,
  );
  const ended = refused.filter(({id}) =>
    fleet.events.some(each => each.t === 'end' && each.id === id),
  );
  const summary = [
    `statuses of the bookings: ${JSON.stringify(statuses)}`,
    `bookings that got a promise not to run and had run: ${refused.length} of ${CLIENTS}, ${ended.length} of them to their end`,
  ];
  for (const line of summary) {
    fleet.note(line);
    console.log(line);
  }
  return refused.length > 0 ? 1 : 0;
});
