/** @fileoverview Tests of log lines, their rate limit and their output. */

import {Socket, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

import {LOG_EVENTS} from '@jackdawfall/core';
import test from 'ava';

import {createLogger} from './logic.js';
import {LineWriter} from './output.js';
import type {Sink} from './types.js';

const CONTEXT = {workspace: 'taipei', host: 'h1', member: ''};

function sinkTo(written: string[]): Sink {
  return {write: line => void written.push(line), takeDroppedCount: () => 0};
}

const LEVELS = [
  {level: 'info', lines: 2},
  {level: 'error', lines: 1},
] as const;

for (const {level, lines} of LEVELS) {
  test(`level ${level} writes ${lines} of two events`, t => {
    const written: string[] = [];
    const logger = createLogger(level, CONTEXT, sinkTo(written));
    logger.log('memberJoined', {zone: 'a'});
    logger.setContext({member: 'h1#7'});
    logger.log('invariantBroken', {invariant: 'one owner'});
    t.is(written.length, lines);
    const last = JSON.parse(written[lines - 1]) as Record<string, unknown>;
    t.is(last.code, LOG_EVENTS.invariantBroken.code);
    t.is(last.level, 'error');
    t.is(last.name, 'invariantBroken');
    t.is(last.member, 'h1#7');
    t.deepEqual(last.fields, {invariant: 'one owner'});
    t.true(written.every(line => line.endsWith('\n')));
  });
}

const FLOWS = [
  {name: 'attemptSent', bounded: true},
  {name: 'requestFailed', bounded: true},
  {name: 'leaseLost', bounded: false},
] as const;

for (const {name, bounded} of FLOWS) {
  const eventCount = 5000;
  test(`${eventCount} ${name} events at the same time: rate limit applies: ${bounded}`, t => {
    const written: string[] = [];
    const logger = createLogger('info', CONTEXT, sinkTo(written));
    for (let time = 0; time < eventCount; time++) logger.log(name);
    t.is(written.length < eventCount / 2, bounded);
    logger.log('leaseHeld');
    const dropReports = written.filter(line => line.includes('"linesDropped"'));
    t.is(dropReports.length, bounded ? 1 : 0);
  });
}

test('a reader that stops reading does not block the writer', async t => {
  const server = createServer(socket => socket.pause());
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  const socket = new Socket().connect(port, '127.0.0.1');
  const output = new LineWriter(socket);
  const line = `${'x'.repeat(1000)}\n`;
  const startedMs = performance.now();
  for (let time = 0; time < 50_000; time++) output.write(line);
  const spentMs = performance.now() - startedMs;
  t.true(spentMs < 1000, `${spentMs} ms`);
  t.true(socket.writableLength < 1_000_000);
  socket.destroy();
  server.close();
});
