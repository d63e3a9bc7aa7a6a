/**
 * One of three upstreams spoils one byte of the name of its header Server-Stamp
 * in 2 of 100 answers. Counts the successes that reach clients without it.
 */
import http from 'node:http';

import {Fleet, configOf, runCase, send, sleep} from '../kit-2/fleet.mjs';

const CLIENTS = 12;
const REQUESTS = 60;

const machines = ['z0', 'z1', 'z2'].flatMap((zone, index) => [
  {zone, service: 'aa', sharded: true, behaviour: {workMs: 20}},
  {
    zone,
    service: 'bb',
    behaviour: {workMs: 60, spoilt: index === 0 ? 0.02 : 0},
  },
]);
const fleet = new Fleet(machines, '/dev/null');

await runCase(fleet, async () => {
  await fleet.start(configOf([{name: 'aa', sharded: true}, {name: 'bb'}]));
  await sleep(3500);
  let successes = 0;
  let unsigned = 0;
  const client = async machine => {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    for (let i = 0; i < REQUESTS; i++) {
      const options = {path: '/bb/x', host: 'bb.example', agent};
      const {status, headers} = await send(fleet, machine, options);
      if (status !== 200) continue;
      successes += 1;
      if (headers['server-stamp'] === undefined) unsigned += 1;
    }
  };
  await Promise.all(
    Array.from({length: CLIENTS}, (_, i) =>
      client(fleet.machines[i % fleet.machines.length]),
    ),
  );
  const spoilt = fleet.events.filter(({t}) => t === 'spoilt').length;
  console.log(
    `${successes} successes, ${spoilt} answers spoilt, ${unsigned} successes without Server-Stamp`,
  );
  return unsigned > 0 ? 1 : 0;
});
