/**
 * Case 7 with other rates and heads.
 * RATE is the number of requests a second, HEAD the length of their heads.
 */
import http from 'node:http';

import {
  Fleet,
  configOf,
  hasTrouble,
  newId,
  runCase,
  sleep,
} from '../kit-2/fleet.mjs';

const RATE = Number(process.env.RATE);
const CROWD_MS = 30_000;
const HEAD_BYTES = Number(process.env.HEAD);
/** Bookings under way on each machine beside an upstream of the busy service. */
const BOOKERS = 10;
const MAX_LOST = 3;

const machines = ['z0', 'z1', 'z2'].flatMap(zone => [
  {zone, service: 'aa', sharded: true, slots: 18, behaviour: {workMs: 4}},
  {zone, service: 'bb', slots: 18, behaviour: {workMs: 600}},
]);
const fleet = new Fleet(machines, '/dev/null');
const answered = {};
/** Requests whose kept connection ended without a complete answer. */
const cut = [];
let going = true;

function request(machine, agent, {method, path, host, headers}) {
  const id = newId();
  return new Promise(resolve => {
    let over = false;
    const done = (what, isCut) => {
      if (over) return;
      over = true;
      answered[what] = (answered[what] ?? 0) + 1;
      if (isCut) cut.push({id, what, machine: machine.name});
      fleet.note(`client ${machine.name} ${id} ${method} ${path}: ${what}`);
      resolve();
    };
    const outgoing = http.request(
      {
        host: machine.ip,
        port: fleet.outbound,
        method,
        path,
        agent,
        headers: {host, 'attempt-id': id, 'deadline-ms': '3000', ...headers},
      },
      incoming => {
        incoming.resume();
        incoming.on('end', () => done(String(incoming.statusCode), false));
        incoming.on('error', error => done(`cut: ${error.code}`, true));
      },
    );
    outgoing.on('error', error =>
      done(error.code, error.code === 'ECONNRESET'),
    );
    outgoing.end();
  });
}

async function book(machine) {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  while (going) {
    await request(machine, agent, {
      method: 'POST',
      path: '/bb/x',
      host: 'bb.example',
      headers: {},
    });
    await sleep(20);
  }
}

/** Sends the crowd's requests for the busy key, from all machines in turn. */
async function crowd() {
  const padding = 'z'.repeat(HEAD_BYTES - 250);
  const agents = fleet.machines.map(
    () => new http.Agent({keepAlive: true, maxSockets: 80}),
  );
  const started = Date.now();
  let sent = 0;
  let open = 0;
  while (Date.now() - started < CROWD_MS) {
    const due = ((Date.now() - started) * RATE) / 1000;
    for (; sent < due && open < 400; sent++) {
      const index = sent % fleet.machines.length;
      open += 1;
      void request(fleet.machines[index], agents[index], {
        method: 'GET',
        path: '/aa/x',
        host: 'aa.example',
        headers: {'shard-key': '12345', 'x-padding': padding},
      }).then(() => (open -= 1));
    }
    sent = Math.max(sent, Math.floor(due));
    await sleep(5);
  }
}

/** Starts each daemon again that has ended, as the platform does. */
async function restart() {
  while (going) {
    for (const machine of fleet.machines) {
      if (machine.daemonEnd === null) continue;
      machine.ends = (machine.ends ?? 0) + 1;
      await sleep(500);
      if (going) fleet.startDaemon(machine);
    }
    await sleep(50);
  }
}

await runCase(fleet, async () => {
  await fleet.start(
    configOf([
      {name: 'aa', sharded: true, timeoutS: 2, aimS: 0.5},
      {name: 'bb', kind: 'non_idempotent', timeoutS: 3, aimS: 1.5},
    ]),
  );
  await sleep(3000);
  const others = [
    restart(),
    ...fleet.machines
      .filter(({service}) => service === 'aa')
      .flatMap(each => Array.from({length: BOOKERS}, () => book(each))),
  ];
  await sleep(2000);
  await crowd();
  await sleep(3000);
  going = false;
  await Promise.all(others);
  const lost = cut.filter(({id}) => fleet.runsOf(id).length > 0);
  const ends = fleet.machines
    .filter(each => each.ends > 0)
    .map(each => `${each.name} ${each.ends} times`);
  const summary = [
    `answers: ${JSON.stringify(answered)}`,
    `processes that ended by themselves: ${ends.join(', ') || 'none'}`,
    `requests on kept connections that an upstream had begun and that were closed without an answer: ${lost.length}, at most ${MAX_LOST} are allowed`,
  ];
  for (const line of summary) {
    fleet.note(line);
    console.log(line);
  }
  return lost.length > MAX_LOST ? 1 : 0;
});
