/** @fileoverview Tests of the command line against a fake daemon. */

import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {fileURLToPath} from 'node:url';

import type {Command, CommandResult, Status} from '@jackdawfall/core';
import test from 'ava';

import {runProgram} from './program.js';

/** What the fake daemon does with one command. */
type FakeBehavior =
  CommandResult | 'hang up' | 'stay silent' | 'half a response' | number;

type FakeScript = (command: Command, port: number) => FakeBehavior;

const TEMPLATE = templatePath('city_service.json');
const TAIPEI = templatePath('parameters/taipei.json');
const APPLY = ['workspace', 'apply', TEMPLATE, TAIPEI];

const STATUS: Status = {
  workspace: 'taipei',
  member: 'h1#1',
  zone: 'a',
  phase: 'joined',
  version: 7,
  configuration: 0,
  document: null,
  coordinator: 'h1#1',
  lease: {held: true, grantors: ['h2#1']},
  storeReachable: true,
  zonesOut: ['b'],
  members: [],
  services: [
    {service: 'finder', slices: 256, unowned: 1, withoutStandby: 2, moving: 3},
  ],
};

const ACCEPTED = ok({version: 8, configuration: 1});

interface Case {
  readonly what: string;
  readonly args: readonly string[];
  readonly script?: FakeScript;
  readonly exit: number;
  /** Matched against all output, results and errors. */
  readonly says: RegExp;
  /** Kinds of the commands that the fake daemon received, in order. */
  readonly asked: readonly string[];
}

const CASES: readonly Case[] = [
  {
    what: 'no command',
    args: [],
    exit: 2,
    says: /--help/,
    asked: [],
  },
  {
    what: 'an unknown command',
    args: ['launch'],
    exit: 2,
    says: /launch/,
    asked: [],
  },
  {
    what: 'an unknown option',
    args: ['status', '--colour', 'red'],
    exit: 2,
    says: /colour/,
    asked: [],
  },
  {
    what: 'an option that is not a number',
    args: ['zone', 'out', 'a', '--wait', 'long'],
    exit: 2,
    says: /--wait must be a number/,
    asked: [],
  },
  {
    what: 'a daemon that is not an address',
    args: ['status', '--daemon', 'h1'],
    exit: 2,
    says: /must be ip:port/,
    asked: [],
  },
  {
    what: 'help',
    args: ['--help'],
    exit: 0,
    says: /workspace/,
    asked: [],
  },
  {
    what: 'a valid template',
    args: ['template', 'check', TEMPLATE, TAIPEI],
    exit: 0,
    says: /bookingUpstreams +integer +required/,
    asked: [],
  },
  {
    what: 'a missing file',
    args: ['template', 'check', '/nowhere/template.json'],
    exit: 2,
    says: /can't be read/,
    asked: [],
  },
  {
    what: 'a file that has no parameters',
    args: ['template', 'expand', TEMPLATE, TEMPLATE],
    exit: 2,
    says: /document: is not a parameter/,
    asked: [],
  },
  {
    what: 'an expanded template',
    args: ['template', 'expand', TEMPLATE, TAIPEI],
    exit: 0,
    says: /"path": "\/pairing\/\{key\}"/,
    asked: [],
  },
  {
    what: 'the status',
    args: ['status'],
    script: () => ok(STATUS),
    exit: 0,
    says: /zones out +b\n[^]*finder +256 +1 +2 +3/,
    asked: ['status'],
  },
  {
    what: 'the status as JSON',
    args: ['status', '--json'],
    script: () => ok(STATUS),
    exit: 0,
    says: /"coordinator": "h1#1"/,
    asked: ['status'],
  },
  {
    what: 'a status without its members',
    args: ['status'],
    script: () => ok({...STATUS, members: undefined}),
    exit: 5,
    says: /members/,
    asked: ['status'],
  },
  {
    what: 'a first configuration',
    args: APPLY,
    script: command =>
      command.kind === 'apply' &&
      command.basedOn === 0 &&
      hasVersion(command, 1)
        ? ACCEPTED
        : ok(STATUS),
    exit: 0,
    says: /configuration 1 is accepted, based on 0/,
    asked: ['status', 'apply'],
  },
  {
    what: 'a configuration that conflicts with another one',
    args: [...APPLY, '--based-on', '4'],
    script: command =>
      command.kind === 'apply' && hasVersion(command, 5)
        ? {kind: 'conflict', detail: 'current is 5'}
        : ok(STATUS),
    exit: 3,
    says: /current is 5\nNothing was changed/,
    asked: ['status', 'apply'],
  },
  {
    what: 'a forbidden change',
    args: APPLY,
    script: () => ok({...STATUS, configuration: 1, document: OTHER_DOCUMENT}),
    exit: 2,
    says: /name: must stay "windhoek"/,
    asked: ['status'],
  },
  {
    what: 'a template without its parameters',
    args: ['workspace', 'apply', TEMPLATE],
    exit: 2,
    says: /give a template with its parameters/,
    asked: [],
  },
  {
    what: 'a change without a response',
    args: ['zone', 'out', 'a', '--timeout', '1'],
    script: () => 'stay silent',
    exit: 5,
    says: /may or may not take effect/,
    asked: ['zone'],
  },
  {
    what: 'a change whose connection breaks',
    args: ['zone', 'out', 'a'],
    script: () => 'hang up',
    exit: 5,
    says: /may or may not take effect/,
    asked: ['zone'],
  },
  {
    what: 'a change with half a response',
    args: ['zone', 'out', 'a'],
    script: () => 'half a response',
    exit: 5,
    says: /may or may not take effect/,
    asked: ['zone'],
  },
  {
    what: 'a change without a reply of the platform',
    args: ['zone', 'in', 'a'],
    script: () => ({kind: 'unknown', detail: 'no reply'}),
    exit: 5,
    says: /audit/,
    asked: ['zone'],
  },
  {
    what: 'a change while the platform is down',
    args: ['server', 'stop', 'h1'],
    script: () => ({kind: 'unavailable', detail: 'store outage'}),
    exit: 4,
    says: /store outage\nNothing was changed/,
    asked: ['stopServer'],
  },
  {
    what: 'a rejected change',
    args: ['zone', 'out', 'x'],
    script: () => ({kind: 'rejected', detail: 'no availability zone x'}),
    exit: 2,
    says: /no availability zone x/,
    asked: ['zone'],
  },
  {
    what: 'a daemon that responds with status 400',
    args: ['zone', 'out', 'a'],
    script: () => 400,
    exit: 2,
    says: /HTTP 400/,
    asked: ['zone'],
  },
  {
    what: 'an unconfirmed end of a member',
    args: ['member', 'end', 'h1#1'],
    exit: 2,
    says: /confirmed-stopped/,
    asked: [],
  },
  {
    what: 'an end of a member that is not confirmed',
    args: ['member', 'end', 'h1#1', '--no-confirmed-stopped'],
    exit: 2,
    says: /must be confirmed/,
    asked: [],
  },
  {
    what: 'an end of a member',
    args: ['member', 'end', 'h1#1', '--confirmed-stopped'],
    script: () => ACCEPTED,
    exit: 0,
    says: /h1#1 is ended/,
    asked: ['endMember'],
  },
  {
    what: 'a change in force',
    args: ['zone', 'out', 'a', '--wait', '2'],
    script: (command, port) =>
      command.kind === 'zone'
        ? ACCEPTED
        : ok({
            ...STATUS,
            version: 8,
            configuration: 1,
            members: [memberAt(port)],
          }),
    exit: 0,
    says: /in force at 1 members/,
    asked: ['zone', 'status', 'progress'],
  },
  {
    what: 'a change that is not in force in time',
    args: ['zone', 'out', 'a', '--wait', '0.1'],
    script: (command, port) =>
      command.kind === 'zone'
        ? ACCEPTED
        : ok({...STATUS, members: [memberAt(port)]}),
    exit: 6,
    says: /h1#1 +log version 7/,
    asked: ['zone', 'status', 'progress'],
  },
  {
    what: 'a wait for a member that stays silent',
    args: ['zone', 'out', 'a', '--wait', '1'],
    script: (command, port) => {
      if (command.kind === 'zone') return ACCEPTED;
      if (command.kind === 'progress') return 'stay silent';
      return ok({
        ...STATUS,
        version: 8,
        configuration: 1,
        members: [memberAt(port)],
      });
    },
    exit: 6,
    says: /h1#1 +127\.0\.0\.1:\d+: no answer within \d+ ms/,
    asked: ['zone', 'status', 'progress'],
  },
  {
    what: 'a map',
    args: ['map', 'finder'],
    script: () => ok({service: 'finder', version: 7, runs: [RUN]}),
    exit: 0,
    says: /0-3 +h1#1 +nobody +2 +moving/,
    asked: ['map'],
  },
  {
    what: 'the audit trail',
    args: ['audit', '--limit', '1'],
    script: () => ok({entries: [AUDIT_ENTRY], searchedFrom: 1}),
    exit: 0,
    says: /7 -> 8 +1970-01-01T00:00:00.000Z +ann +zone a out/,
    asked: ['audit'],
  },
];

const RUN = {
  first: 0,
  count: 4,
  owner: 'h1#1',
  standby: null,
  generation: 2,
  moving: true,
};

const AUDIT_ENTRY = {from: 7, to: 8, at: 0, by: 'ann', what: 'zone a out'};

const OTHER_DOCUMENT = JSON.stringify({
  name: 'windhoek',
  version: 1,
  zones: ['a'],
  services: [{name: 'orders', division: {kind: 'shared'}, upstreams: 1}],
  routes: [
    {
      method: 'GET',
      path: '/orders',
      service: 'orders',
      idempotent: true,
      priority: 'interactive',
      timeoutMs: 1000,
    },
  ],
  limits: {
    maxBodyBytes: 1,
    maxKeyBytes: 1,
    retryShare: 0,
    maxMovingSlices: 1,
    drainMs: 0,
  },
});

for (const {what, args, script = () => 500, exit, says, asked} of CASES) {
  test.serial(`${what} ends with exit code ${exit}`, async t => {
    const {daemon, commands, close} = await startFake(script);
    const {code, text} = await run([...args, '--daemon', daemon]);
    close();
    t.is(code, exit, text);
    t.regex(text, says);
    t.deepEqual(
      commands.map(({kind}) => kind),
      asked,
    );
  });
}

test('a daemon that is not running is skipped', async t => {
  const stopped = await startFake(() => 500);
  stopped.close();
  const {daemon, commands, close} = await startFake(() => ACCEPTED);
  const daemons = ['--daemon', stopped.daemon, '--daemon', daemon];
  const {code, text} = await run(['zone', 'out', 'a', ...daemons]);
  close();
  t.is(code, 0, text);
  t.is(commands.length, 1);
});

test('a change of unknown result is not sent to a second daemon', async t => {
  const first = await startFake(() => 'hang up');
  const second = await startFake(() => ACCEPTED);
  const daemons = ['--daemon', first.daemon, '--daemon', second.daemon];
  const {code} = await run(['zone', 'out', 'a', ...daemons]);
  first.close();
  second.close();
  t.is(code, 5);
  t.is(second.commands.length, 0);
});

async function run(
  args: readonly string[],
): Promise<{code: number; text: string}> {
  const lines: string[] = [];
  const output = {
    write: (text: string) => void lines.push(text),
    writeError: (text: string) => void lines.push(text),
  };
  const {signal} = new AbortController();
  const code = await runProgram(args, output, signal);
  return {code, text: lines.join('\n')};
}

async function startFake(script: FakeScript): Promise<{
  daemon: string;
  commands: Command[];
  close: () => void;
}> {
  const commands: Command[] = [];
  const server: Server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      const command = JSON.parse(text) as Command;
      commands.push(command);
      const behavior = script(command, portOf(server));
      if (behavior === 'stay silent') return;
      if (behavior === 'hang up') request.socket.destroy();
      else if (behavior === 'half a response') {
        response.writeHead(200, {'content-length': 100}).write('{"kind":');
        setTimeout(() => request.socket.destroy(), 20);
      } else if (typeof behavior === 'number') {
        response.writeHead(behavior).end('no');
      } else response.end(JSON.stringify(behavior));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const close = (): void => {
    server.closeAllConnections();
    server.close();
  };
  return {daemon: `127.0.0.1:${portOf(server)}`, commands, close};
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

function ok(body: unknown): CommandResult {
  return {kind: 'ok', body: JSON.stringify(body)};
}

function memberAt(port: number): Status['members'][number] {
  return {
    member: 'h1#1',
    zone: 'a',
    operators: `127.0.0.1:${port}`,
    server: null,
    owned: 0,
    standby: 0,
    draining: false,
  };
}

function hasVersion({document}: {document: string}, version: number): boolean {
  return (JSON.parse(document) as {version: number}).version === version;
}

function templatePath(name: string): string {
  const url = new URL(`../../../templates/${name}`, import.meta.url);
  return fileURLToPath(url);
}
