/**
 * A client pipelines N requests with answers of 60 KB and reads none of them for
 * some seconds, in which its daemon gets SIGTERM.
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
const machines = ['z0', 'z1', 'z2'].flatMap(zone => [
  {zone, service: 'aa', sharded: true, behaviour: {workMs: 20}},
  {zone, service: 'bb', behaviour: {workMs: 100, bodyBytes: 60000}},
]);
const fleet = new Fleet(machines, '/dev/null');
await runCase(fleet, async () => {
  await fleet.start(
    configOf([
      {name: 'aa', sharded: true},
      {name: 'bb', timeoutS: 8, aimS: 5},
    ]),
  );
  await sleep(3500);
  const [machine] = fleet.machines;
  const N = Number(process.env.N ?? 40);
  const ids = [];
  let bytes = 0,
    closed = null,
    text = '';
  const socket = net.connect({port: fleet.outbound, host: machine.ip});
  socket.on('error', e => (closed ??= e.code));
  socket.on('close', () => {
    closed ??= 'closed';
  });
  socket.on('data', b => {
    bytes += b.length;
    text += b.toString('latin1');
  });
  for (let i = 0; i < N; i++) {
    const id = newId();
    ids.push(id);
    socket.write(
      `GET /bb/x HTTP/1.1\r\nHost: bb.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 8000\r\n\r\n`,
    );
    await sleep(20);
    if (i === 0) socket.pause();
  }
  await sleep(1000);
  const t0 = Date.now();
  machine.daemon.kill('SIGTERM');
  fleet.note('SIGTERM');
  await sleep(4000);
  console.log('daemon end', machine.daemonEnd && machine.daemonEnd.at - t0);
  socket.resume();
  while (closed === null && Date.now() - t0 < 9000) await sleep(50);
  const answered = text.match(/HTTP\/1\.1 200/g)?.length;
  console.log(
    'closed',
    closed,
    'bytes',
    bytes,
    'answers begun',
    answered,
    'runs ended',
    fleet.events.filter(e => e.t === 'end').length,
    'after',
    Date.now() - t0,
    machine.daemonEnd && machine.daemonEnd.at - t0,
  );
  return 0;
});
