/** @fileoverview Tests of the store client against a fake store. */

import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import type {StoreCall, StoreReply, WriteId} from '@jackdawfall/core';

import {StoreClient} from './logic.js';

const TIMEOUT_MS = 200;

const COMMIT: StoreCall = {
  kind: 'commit',
  transaction: {writeId: 'w' as WriteId, checks: [], puts: []},
};
const READ: StoreCall = {kind: 'read', query: {kind: 'row', key: 'a'}};
const GET: StoreCall = {kind: 'getObject', name: 'a/b'};
const PUT: StoreCall = {kind: 'putObject', name: 'a/b', body: 'x'};

interface Case {
  readonly name: string;
  readonly call: StoreCall;
  /** Response of the fake store, or null for none. */
  readonly response: {readonly status: number; readonly body: unknown} | null;
  readonly reply: StoreReply['kind'];
}

const CASES: readonly Case[] = [
  {
    name: 'a commit',
    call: COMMIT,
    response: {status: 200, body: {kind: 'committed', revision: 4}},
    reply: 'committed',
  },
  {
    name: 'a conflict',
    call: COMMIT,
    response: {status: 409, body: {kind: 'conflict', rows: []}},
    reply: 'conflict',
  },
  {
    name: 'a commit that exceeds the rate limit',
    call: COMMIT,
    response: {status: 429, body: {}},
    reply: 'refused',
  },
  {
    name: 'a commit with an invalid reply',
    call: COMMIT,
    response: {status: 200, body: {kind: 'com'}},
    reply: 'unknown',
  },
  {
    name: 'a commit without a reply',
    call: COMMIT,
    response: null,
    reply: 'unknown',
  },
  {
    name: 'a read',
    call: READ,
    response: {status: 200, body: {kind: 'rows', rows: []}},
    reply: 'rows',
  },
  {
    name: 'reading an absent object',
    call: GET,
    response: {status: 404, body: {}},
    reply: 'object',
  },
  {
    name: 'writing an object',
    call: PUT,
    response: {status: 204, body: ''},
    reply: 'stored',
  },
  {
    name: 'writing an object during an outage',
    call: PUT,
    response: {status: 503, body: {}},
    reply: 'refused',
  },
];

for (const {name, call, response, reply} of CASES) {
  test(`${name} is ${reply}`, async t => {
    const server = createServer((incoming, outgoing) => {
      incoming.resume();
      if (response === null) return;
      outgoing.writeHead(response.status);
      outgoing.end(
        response.status === 204 ? '' : JSON.stringify(response.body),
      );
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const aborter = new AbortController();
    const client = new StoreClient([`127.0.0.1:${port}`], aborter.signal);
    t.is((await client.call(call, TIMEOUT_MS)).kind, reply);
    aborter.abort();
    server.closeAllConnections();
    server.close();
  });
}

test('a call is refused if the connection is refused', async t => {
  const aborter = new AbortController();
  const client = new StoreClient(['127.0.0.1:1'], aborter.signal);
  t.is((await client.call(COMMIT, TIMEOUT_MS)).kind, 'refused');
  aborter.abort();
});
