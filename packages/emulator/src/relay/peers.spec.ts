/** @fileoverview Tests of finding the socket that opened a connection. */

import test from 'ava';

import {inodeOf} from './peers.js';

const HEAD =
  '  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode';
const LISTENING =
  '   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 11 1 0 100 0 0 10 0';
const CLOSED =
  '   1: 0100007F:A001 0100007F:1F91 06 00000000:00000000 03:00000F2C 00000000     0        0 0 3 0';
const TO_ANOTHER =
  '   2: 0100007F:A001 0100007F:1F92 01 00000000:00000000 00:00000000 00000000     0        0 22 1 0 20 4 30 10 -1';
const WANTED =
  '   3: 0100007F:A001 0100007F:1F90 01 00000000:00000000 00:00000000 00000000     0        0 33 1 0 20 4 30 10 -1';
const PORTS = {source: 0xa001, destination: 0x1f90};

const CASES: ReadonlyArray<{
  name: string;
  rows: readonly string[];
  inode: string | null;
}> = [
  {name: 'the connection alone', rows: [LISTENING, WANTED], inode: '33'},
  {
    name: 'a closed connection from the same port before it',
    rows: [CLOSED, WANTED],
    inode: '33',
  },
  {
    name: 'a connection from the same port to another one before it',
    rows: [TO_ANOTHER, WANTED],
    inode: '33',
  },
  {name: 'other connections', rows: [CLOSED, TO_ANOTHER], inode: null},
];

for (const {name, rows, inode} of CASES) {
  // On a busy machine the relay took another row, and let a cut peer through.
  test(`the opener of a connection is found: ${name}`, t => {
    t.is(inodeOf([HEAD, ...rows].join('\n'), PORTS), inode);
  });
}
