/**
 * @fileoverview Tests that every message survives encoding and decoding and
 * that malformed frames are rejected.
 */

import test from 'ava';
import fc from 'fast-check';
import type {Message} from '@jackdawfall/core';
import {decodeFrame, encodeFrame, estimateSize} from './frames.js';
import {
  ERROR_CODES,
  FATE_CODES,
  LOGICAL_TYPES,
  MESSAGE_SCHEMAS,
  PRIORITY_CODES,
  RUN_CODES,
} from './schemas.js';
import type {FieldSchema} from './schemas.js';
import {MalformedFrame, UnsendableMessage} from './types.js';

const TEXT = fc.string({unit: 'grapheme'});
const COUNT = fc.maxSafeInteger().map(n => Math.floor(Math.abs(n) / 2));
const INT32 = fc.integer();
const ARBITRARIES = new Map<FieldSchema, fc.Arbitrary<unknown>>([
  ['string', TEXT],
  ['int', INT32],
  [LOGICAL_TYPES.count, COUNT],
  ['double', fc.double({noNaN: true})],
  ['boolean', fc.boolean()],
  [LOGICAL_TYPES.octets, fc.uint8Array().map(bytes => Buffer.from(bytes))],
  [LOGICAL_TYPES.compressedText, TEXT],
  [LOGICAL_TYPES.names, fc.array(TEXT)],
  [LOGICAL_TYPES.headers, fc.array(fc.record({name: TEXT, value: TEXT}))],
  [
    LOGICAL_TYPES.entries,
    fc.array(fc.record({version: COUNT, revision: COUNT, text: TEXT})),
  ],
  [LOGICAL_TYPES.integers, fc.array(INT32)],
  [LOGICAL_TYPES.doubles, fc.array(fc.double({noNaN: true}))],
  [LOGICAL_TYPES.error, fc.constantFrom(...Object.keys(ERROR_CODES))],
  [LOGICAL_TYPES.run, fc.constantFrom(...Object.keys(RUN_CODES))],
  [LOGICAL_TYPES.priority, fc.constantFrom(...Object.keys(PRIORITY_CODES))],
  [LOGICAL_TYPES.fate, fc.constantFrom(...Object.keys(FATE_CODES))],
]);

function arbitraryOf(schema: FieldSchema): fc.Arbitrary<unknown> {
  if (Array.isArray(schema)) {
    return fc.option(arbitraryOf(schema[1] as FieldSchema));
  }
  const arbitrary = ARBITRARIES.get(schema);
  if (!arbitrary) throw new Error(`no arbitrary for ${JSON.stringify(schema)}`);
  return arbitrary;
}

function messagesOf(kind: Message['kind']): fc.Arbitrary<Message> {
  const fields: Record<string, fc.Arbitrary<unknown>> = {};
  for (const [name, schema] of Object.entries(MESSAGE_SCHEMAS[kind].fields)) {
    fields[name] = arbitraryOf(schema);
  }
  const record = fc.record({kind: fc.constant(kind), ...fields});
  return record as unknown as fc.Arbitrary<Message>;
}

const KINDS = Object.keys(MESSAGE_SCHEMAS) as Message['kind'][];
const ANY_MESSAGE = fc.oneof(...KINDS.map(messagesOf));

for (const kind of KINDS) {
  test(`${kind} is decoded as it was encoded, within its estimated size`, t => {
    fc.assert(
      fc.property(messagesOf(kind), message => {
        const bytes = encodeFrame({kind: 'batch', messages: [message]});
        t.deepEqual(decodeFrame(bytes), {kind: 'batch', messages: [message]});
        t.true(bytes.length <= estimateSize(message) + 1);
      }),
      {seed: 7, numRuns: 60},
    );
  });
}

test('message codes are unique', t => {
  const codes = KINDS.map(kind => MESSAGE_SCHEMAS[kind].code);
  t.is(new Set(codes).size, KINDS.length);
});

test('a batch keeps the order of its messages', t => {
  fc.assert(
    fc.property(fc.array(ANY_MESSAGE), messages => {
      const bytes = encodeFrame({kind: 'batch', messages});
      t.deepEqual(decodeFrame(bytes), {kind: 'batch', messages});
    }),
    {seed: 7, numRuns: 50},
  );
});

test('a frame truncated anywhere yields complete messages or an error', t => {
  fc.assert(
    fc.property(fc.array(ANY_MESSAGE, {maxLength: 4}), messages => {
      const bytes = encodeFrame({kind: 'batch', messages});
      for (let end = 1; end < bytes.length; end += 1) {
        const read = readOrNull(bytes.subarray(0, end));
        if (read) t.deepEqual(read, messages.slice(0, read.length));
      }
    }),
    {seed: 7, numRuns: 40},
  );
});

test('random bytes are rejected with MalformedFrame or decoded, quickly', t => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 400}), garbage => {
      const bytes = Buffer.concat([Buffer.from([3]), garbage]);
      readOrNull(bytes);
      t.pass();
    }),
    {seed: 7, numRuns: 3000},
  );
});

const MALFORMED: readonly [string, Buffer][] = [
  ['no bytes', Buffer.alloc(0)],
  ['unknown frame', Buffer.from([9, 1])],
  ['unknown message', Buffer.from([3, 99])],
  ['truncated hello', Buffer.from([1, 2])],
  [
    'hello with bytes left over',
    withExtraByte({kind: 'refusal', reason: 'no'}),
  ],
  ['text longer than the frame', Buffer.from([3, 8, 0xfe, 0xff, 0x7f, 65])],
  // A `head` whose list of headers claims two billion items: a decoder that
  // believes the length would run out of memory.
  [
    'list with a huge claimed length',
    Buffer.from([3, 3, 2, 65, 0, 0xfe, 0xff, 0xff, 0xff, 0x0f, 2, 65, 2, 65]),
  ],
  ['unknown enumeration code', Buffer.from([3, 10, 2, 65, 60])],
  ['larger than any frame', Buffer.alloc(5 * 1024 * 1024, 3)],
];

for (const [name, bytes] of MALFORMED) {
  test(`malformed frame: ${name}`, t => {
    t.throws(() => decodeFrame(bytes), {instanceOf: MalformedFrame});
  });
}

const UNSENDABLE: readonly [string, object][] = [
  ['a number for a text', {kind: 'cancel', attempt: 7}],
  ['a negative count', {kind: 'pull', after: -1}],
  ['a count too large for an exact encoding', {kind: 'pull', after: 2 ** 52}],
  ['an unknown kind', {kind: 'shout'}],
  ['a missing field', {kind: 'close', round: 1}],
];

for (const [name, message] of UNSENDABLE) {
  test(`unsendable message: ${name}`, t => {
    const messages = [message as Message];
    t.throws(() => encodeFrame({kind: 'batch', messages}), {
      instanceOf: UnsendableMessage,
    });
  });
}

function withExtraByte(frame: {kind: 'refusal'; reason: string}): Buffer {
  return Buffer.concat([encodeFrame(frame), Buffer.from([0])]);
}

function readOrNull(bytes: Buffer): readonly Message[] | null {
  try {
    const frame = decodeFrame(bytes);
    return frame.kind === 'batch' ? frame.messages : null;
  } catch (error) {
    if (error instanceof MalformedFrame) return null;
    throw error;
  }
}

// A configuration of 1,200 routes took seconds to reach all daemons.
test('a large configuration is sent in a fraction of its size', t => {
  const routes = Array.from({length: 1200}, (_, index) => ({
    name: `route-${index}`,
    host: `host${index % 7}.example`,
    method: 'GET',
    path: `/catalogue/${(index * 7919) % 100_003}/{rest...}`,
    service: 'catalogue',
    timeoutMs: 1200,
    maxAttempts: 2,
  }));
  const message = {
    kind: 'configuration',
    number: 118,
    document: JSON.stringify({routes}),
    zonesOut: [],
  } as unknown as Message;
  const bytes = encodeFrame({kind: 'batch', messages: [message]});
  t.deepEqual(decodeFrame(bytes), {kind: 'batch', messages: [message]});
  t.true(bytes.length < estimateSize(message) / 4, `${bytes.length} bytes`);
});

test('a text that inflates without end is malformed', t => {
  const document = ' '.repeat(8 * 1024 * 1024);
  const message = {
    kind: 'configuration',
    number: 1,
    document,
    zonesOut: [],
  } as unknown as Message;
  const bytes = encodeFrame({kind: 'batch', messages: [message]});
  t.throws(() => decodeFrame(bytes), {instanceOf: MalformedFrame});
});
