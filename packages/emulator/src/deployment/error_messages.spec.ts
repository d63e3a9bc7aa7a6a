/**
 * @fileoverview Tests of the error responses for invalid requests and of the
 * exit codes and messages for invalid settings, with real processes.
 */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, request} from 'node:http';
import type {IncomingHttpHeaders} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import test from 'ava';

import {get} from '../control/client.js';
import {startProcess} from './processes.js';
import {startCluster} from './cluster.js';
import {applyUntilAccepted, buildCityDocument} from './operations.js';
import {reservePorts} from './ports.js';
import type {Cluster, Host} from './types.js';

const DAEMON_ENTRY = 'daemon/dist/main.js';
const APPLY_MS = 10_000;
const SERVED_MS = 10_000;
const LOG_LINE_TIMEOUT_MS = 15_000;
const MAX_BODY_BYTES = 1000;
const LONG_KEY = 'k'.repeat(5000);

const ending = new AbortController();
let cluster: Cluster;
let host: Host;

test.before(async () => {
  cluster = await startCluster(
    {
      workspace: 'taipei',
      hosts: [{host: 'pairing-a', zone: 'a', service: 'pairing'}],
      relays: false,
      server: {},
      tuning: {},
      seed: 1,
    },
    ending.signal,
  );
  host = cluster.hosts.get('pairing-a') as Host;
  const document = await buildCityDocument({maxBodyBytes: MAX_BODY_BYTES});
  await applyUntilAccepted(host, document, 0, APPLY_MS);
  await waitUntilServed();
});

test.after.always(() => ending.abort());

interface Case {
  readonly name: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly status: number;
  readonly kind: string | null;
}

const CASES: readonly Case[] = [
  {
    name: 'a booking',
    method: 'POST',
    path: '/pairing/lin',
    body: '{}',
    status: 200,
    kind: null,
  },
  {
    name: 'an unknown service',
    method: 'GET',
    path: '/milonga/lin',
    status: 404,
    kind: 'unknown-service',
  },
  {
    name: 'a method without a route',
    method: 'PATCH',
    path: '/pairing/lin',
    status: 404,
    kind: 'unknown-service',
  },
  {
    name: 'a missing key',
    method: 'POST',
    path: '/pairing/',
    status: 400,
    kind: 'key-missing',
  },
  {
    name: 'an oversized key',
    method: 'POST',
    path: `/pairing/${LONG_KEY}`,
    status: 400,
    kind: 'key-too-long',
  },
  {
    name: 'a key that is not valid UTF-8',
    method: 'POST',
    path: '/pairing/%ff',
    status: 400,
    kind: 'bad-request',
  },
  {
    name: 'a body over the limit',
    method: 'POST',
    path: '/pairing/lin',
    body: 'x'.repeat(MAX_BODY_BYTES + 1),
    status: 413,
    kind: 'body-too-large',
  },
  {
    name: 'a service without a server',
    method: 'GET',
    path: '/finder/lin',
    headers: {'x-timeout-ms': '200'},
    status: 503,
    kind: 'no-owner',
  },
];

for (const {name, method, path, headers, body, status, kind} of CASES) {
  test(`${name} gets a response with ${status}`, async t => {
    const response = await call(method, path, headers ?? {}, body ?? '');
    t.is(response.status, status, response.text);
    t.is(typeof response.headers['x-request-id'], 'string');
    if (kind === null) return;
    const error = JSON.parse(response.text) as Record<string, unknown>;
    t.is(error.kind, kind);
    t.is(error.run, 'not-run');
    t.is(response.headers['x-run'], 'not-run');
  });
}

/** A change of valid settings with which the daemon must not start. */
interface InvalidStart {
  readonly name: string;
  readonly change: (settings: Settings, occupied: number) => unknown;
  readonly code: string;
  readonly says: RegExp;
}

interface Settings {
  readonly [name: string]: unknown;
}

const INVALID_STARTS: readonly InvalidStart[] = [
  {
    name: 'an invalid setting',
    change: settings => ({...settings, callers: {ip: 'localhost', port: 1}}),
    code: '2',
    says: /callers\.ip: must be an IP number/,
  },
  {
    name: 'an unknown setting',
    change: settings => ({...settings, color: 'red'}),
    code: '2',
    says: /color/,
  },
  {
    name: 'an occupied port',
    change: (settings, occupied) => ({
      ...settings,
      callers: {ip: '127.0.0.1', port: occupied},
    }),
    code: '1',
    says: /can't listen for callers at 127\.0\.0\.1:\d+/,
  },
];

for (const {name, change, code, says} of INVALID_STARTS) {
  test(`a daemon with ${name} exits with code ${code}`, async t => {
    const {port, close} = await occupyPort();
    const ports = await reservePorts(3, ending.signal);
    const file = await writeSettings(change(settingsWith(ports), port));
    const child = startProcess(
      {name: 'daemon', entry: DAEMON_ENTRY, args: ['--settings', file.path]},
      ending.signal,
    );
    t.is(await child.exited, code);
    t.regex(child.output.join('\n'), says);
    close();
    await file.remove();
  });
}

test('a daemon logs that the platform is unreachable and keeps running', async t => {
  const ports = await reservePorts(3, ending.signal);
  const file = await writeSettings(settingsWith(ports));
  const child = startProcess(
    {name: 'daemon', entry: DAEMON_ENTRY, args: ['--settings', file.path]},
    ending.signal,
  );
  const says = /"platformFailed".*ECONNREFUSED/;
  await until(() => says.test(child.output.join('\n')));
  t.regex(child.output.join('\n'), says);
  const ready = await get(`http://127.0.0.1:${ports[2]}/ready`);
  t.is(ready.status, 503);
  t.regex(ready.body, /the platform does not answer/);
  t.true(child.isRunning());
  child.kill('SIGKILL');
  await file.remove();
});

interface Response {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

function call(
  method: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  body: string,
): Promise<Response> {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      `http://${host.callers}${path}`,
      {method, headers, agent: false},
      incoming => {
        let text = '';
        incoming.setEncoding('utf8');
        incoming.on('data', (part: string) => (text += part));
        incoming.on('end', () =>
          resolve({
            status: incoming.statusCode ?? 0,
            headers: incoming.headers,
            text,
          }),
        );
      },
    );
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

async function waitUntilServed(): Promise<void> {
  const end = performance.now() + SERVED_MS;
  while (performance.now() < end) {
    const response = await call('POST', '/pairing/lin', {}, '{}');
    if (response.status === 200) return;
  }
}

async function until(done: () => boolean): Promise<void> {
  const end = performance.now() + LOG_LINE_TIMEOUT_MS;
  while (!done() && performance.now() < end) {
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

async function occupyPort() {
  const server = createServer();
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  return {port, close: () => void server.close()};
}

function settingsWith(ports: readonly number[]): Settings {
  const [callers, links, operators] = ports.map(port => ({
    ip: '127.0.0.1',
    port,
  }));
  return {
    workspace: 'taipei',
    host: 'h1',
    zone: 'a',
    callers,
    links,
    operators,
    platform: {addresses: ['127.0.0.1:1']},
  };
}

async function writeSettings(settings: unknown) {
  const folder = await mkdtemp(join(tmpdir(), 'jackdawfall-'));
  const path = join(folder, 'settings.json');
  await writeFile(path, JSON.stringify(settings));
  return {path, remove: () => rm(folder, {recursive: true, force: true})};
}
