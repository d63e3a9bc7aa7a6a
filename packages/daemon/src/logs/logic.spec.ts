/** @fileoverview Tests of the log lines. */

import {LOGS} from '@jackdawfall/core';
import test from 'ava';

import {createLogger} from './logic.js';

const CONTEXT = {workspace: 'taipei', host: 'h1', member: ''};

const LEVELS = [
  {level: 'info', lines: 2},
  {level: 'error', lines: 1},
] as const;

for (const {level, lines} of LEVELS) {
  test(`at level ${level} ${lines} of two events are written`, t => {
    const written: string[] = [];
    const logger = createLogger(level, CONTEXT, line => written.push(line));
    logger.log('memberJoined', {zone: 'a'});
    logger.setContext({member: 'h1#7'});
    logger.log('invariantBroken', {invariant: 'one owner'});
    t.is(written.length, lines);
    const last = JSON.parse(written[lines - 1]) as Record<string, unknown>;
    t.is(last.code, LOGS.invariantBroken.code);
    t.is(last.level, 'error');
    t.is(last.name, 'invariantBroken');
    t.is(last.member, 'h1#7');
    t.deepEqual(last.fields, {invariant: 'one owner'});
    t.true(written.every(line => line.endsWith('\n')));
  });
}
