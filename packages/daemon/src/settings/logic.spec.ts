/** @fileoverview Tests of parsing the settings file. */

import {DEFAULT_TUNING} from '@jackdawfall/core';
import test from 'ava';

import {SettingsError, parseSettings, readSettings} from './logic.js';

/** A substring of the settings text and its replacement. */
type Edit = readonly [from: string, to: string];

const TEXT = JSON.stringify({
  workspace: 'taipei',
  host: 'h1',
  zone: 'a',
  callers: {ip: '127.0.0.1', port: 1},
  links: {ip: '127.0.0.1', port: 2},
  operators: {ip: '127.0.0.1', port: 3},
  platform: {addresses: ['127.0.0.1:7900']},
});

function textWith([from, to]: Edit): string {
  if (!TEXT.includes(from)) throw new Error(`no ${from}`);
  return TEXT.replace(from, to);
}

function tuningOf(tuning: object): Edit {
  return ['{', `{"tuning":${JSON.stringify(tuning)},`];
}

const FAULTS: ReadonlyArray<{path: string; edit: Edit}> = [
  {path: 'workspace', edit: ['"workspace":"taipei",', '']},
  {path: 'host', edit: ['h1', 'h#1']},
  {path: 'callers.ip', edit: ['127.0.0.1', 'localhost']},
  {path: 'links.port', edit: [':2', ':65536']},
  {path: 'linkAddress', edit: ['{', '{"linkAddress":"127.0.0.1",']},
  {path: 'linkAddress', edit: ['{', '{"linkAddress":"127.0.0.1:",']},
  {path: 'platform.addresses', edit: ['["127.0.0.1:7900"]', '[]']},
  {path: 'platform.addresses.0', edit: ['127.0.0.1:7900', 'table:80']},
  {path: '', edit: ['{', '{"colour":"red",']},
  {path: 'tuning', edit: tuningOf({colour: {}})},
  {path: 'tuning.loop', edit: tuningOf({loop: {tickSeconds: 1}})},
  {path: 'tuning.loop.tickMs', edit: tuningOf({loop: {tickMs: '5'}})},
  {path: 'tuning.loop.tickMs', edit: tuningOf({loop: {tickMs: 0}})},
  {path: 'tuning.logs.level', edit: tuningOf({logs: {level: 'loud'}})},
  {path: 'tuning.leases.renewMs', edit: tuningOf({leases: {leaseMs: 900}})},
  {path: 'tuning.leases.leaseMs', edit: tuningOf({leases: {leaseMs: 1400}})},
  {path: 'tuning.leases.suspectMs', edit: tuningOf({leases: {suspectMs: 600}})},
];

for (const {path, edit} of FAULTS) {
  const text = textWith(edit);
  test(`settings with ${edit[1]} for ${edit[0]} are rejected`, t => {
    const error = t.throws(() => parseSettings(text, 'file'), {
      instanceOf: SettingsError,
    });
    t.deepEqual(
      error.faults.map(fault => fault.path),
      [path],
    );
  });
}

test('tuning is merged with the defaults', t => {
  const text = textWith(tuningOf({loop: {tickMs: 10}}));
  const {tuning, linkAddress} = parseSettings(text, 'file');
  t.is(linkAddress, null);
  t.deepEqual(tuning, {
    ...DEFAULT_TUNING,
    loop: {...DEFAULT_TUNING.loop, tickMs: 10},
  });
});

test('the message says that a required key is missing', t => {
  const text = textWith(['"host":"h1",', '']);
  const error = t.throws(() => parseSettings(text, 'file'));
  t.is(error.message, "settings file can't be used:\n  host: is missing");
});

test('the message tells a missing file from invalid JSON', async t => {
  const missing = await t.throwsAsync(readSettings('/nowhere/settings.json'));
  t.regex(missing.message, /can't be read/);
  const broken = t.throws(() => parseSettings('{', 'file'));
  t.regex(broken.message, /is no JSON/);
});
