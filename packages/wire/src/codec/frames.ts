/**
 * @fileoverview Frames to bytes and back. A frame is one byte for its kind,
 * then its content; a batch is a row of messages, each one byte for its kind
 * and an Avro record. Nothing of a frame is handed out before all of it was
 * read.
 */

import avsc from 'avsc';
import type {Message} from '@jackdawfall/core';
import {LOGICAL_TYPE_CLASSES} from './logical_types.js';
import {HELLO_SCHEMA, MESSAGE_SCHEMAS} from './schemas.js';
import {MalformedFrame, UnsendableMessage} from './types.js';
import type {Frame, Hello} from './types.js';

/** Largest frame, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
/** Largest message, in bytes of `weigh`. */
export const MAX_MESSAGE_BYTES = 2 * 1024 * 1024;

const FIXED_BYTES = 160;
const MAX_UTF8_BYTES = 3;
/** Length from which the bytes of a text are counted. */
const LONG_TEXT = 64;

const FRAME_CODES: Readonly<Record<Frame['kind'], number>> = {
  hello: 1,
  ping: 2,
  batch: 3,
  refusal: 4,
  probe: 5,
  farewell: 6,
};

interface Codec {
  readonly kind: Message['kind'];
  readonly code: number;
  readonly type: avsc.Type;
}

const CODECS = new Map<string, Codec>();
const CODECS_BY_CODE: (Codec | undefined)[] = [];
for (const [kind, {code, fields}] of Object.entries(MESSAGE_SCHEMAS)) {
  const codec = {
    kind: kind as Message['kind'],
    code,
    type: recordType(kind, fields),
  };
  CODECS.set(kind, codec);
  CODECS_BY_CODE[code] = codec;
}

const HELLO = recordType('hello', HELLO_SCHEMA);
const REFUSAL = recordType('refusal', {reason: 'string'});
const PING = Buffer.from([FRAME_CODES.ping]);
const PROBE = Buffer.from([FRAME_CODES.probe]);
const FAREWELL = Buffer.from([FRAME_CODES.farewell]);

/**
 * Estimates a message's size from above without encoding it.
 *
 * @param message - The message.
 * @returns Size in bytes, never less than what it takes in a frame.
 */
export function estimateSize(message: Message): number {
  let bytes = FIXED_BYTES;
  for (const field of Object.values(message) as unknown[]) {
    if (typeof field === 'string') bytes += weighText(field);
    else if (field instanceof Uint8Array) bytes += field.byteLength;
    else if (Array.isArray(field)) bytes += weighList(field);
  }
  return bytes;
}

/**
 * Writes a frame.
 *
 * @param frame - The frame.
 * @returns Its bytes.
 * @throws UnsendableMessage when a field has the wrong shape.
 */
export function encodeFrame(frame: Frame): Buffer {
  switch (frame.kind) {
    case 'ping':
      return PING;
    case 'probe':
      return PROBE;
    case 'farewell':
      return FAREWELL;
    case 'hello':
      return encodeRecord(FRAME_CODES.hello, HELLO, frame);
    case 'refusal':
      return encodeRecord(FRAME_CODES.refusal, REFUSAL, frame);
    case 'batch':
      return encodeBatch(frame.messages);
  }
}

/**
 * Reads a frame.
 *
 * @param bytes - What came over the link; the frame may keep parts of it.
 * @returns The frame.
 * @throws MalformedFrame when any part can't be read.
 */
export function decodeFrame(bytes: Buffer): Frame {
  if (bytes.length > MAX_FRAME_BYTES) throw new MalformedFrame('too large');
  switch (bytes[0]) {
    case FRAME_CODES.batch:
      return {kind: 'batch', messages: decodeBatch(bytes)};
    case FRAME_CODES.ping:
      return {kind: 'ping'};
    case FRAME_CODES.probe:
      return {kind: 'probe'};
    case FRAME_CODES.farewell:
      return {kind: 'farewell'};
    case FRAME_CODES.hello: {
      const record = decodeRecord<Hello>(HELLO, bytes);
      return {...record, kind: 'hello'};
    }
    case FRAME_CODES.refusal: {
      const {reason} = decodeRecord<{reason: string}>(REFUSAL, bytes);
      return {kind: 'refusal', reason};
    }
    default:
      throw new MalformedFrame(`unknown frame ${bytes[0] ?? 'without bytes'}`);
  }
}

function encodeBatch(messages: readonly Message[]): Buffer {
  let bound = 1;
  for (const message of messages) bound += estimateSize(message);
  const bytes = Buffer.allocUnsafe(bound);
  bytes[0] = FRAME_CODES.batch;
  let at = 1;
  for (const message of messages) at = encodeMessage(message, bytes, at);
  return bytes.subarray(0, at);
}

function encodeMessage(message: Message, bytes: Buffer, at: number): number {
  const codec = CODECS.get(message.kind);
  if (!codec) throw new UnsendableMessage(`unknown kind ${message.kind}`);
  bytes[at] = codec.code;
  const end = write(codec.type, message, bytes, at + 1);
  if (end < 0) throw new UnsendableMessage('larger than its estimate');
  return end;
}

function encodeRecord(code: number, type: avsc.Type, value: object): Buffer {
  try {
    return Buffer.concat([Buffer.from([code]), type.toBuffer(value)]);
  } catch (error) {
    throw new UnsendableMessage(`can't write: ${String(error)}`);
  }
}

function write(
  type: avsc.Type,
  message: Message,
  bytes: Buffer,
  at: number,
): number {
  try {
    return type.encode(message, bytes, at);
  } catch (error) {
    throw new UnsendableMessage(`can't write: ${String(error)}`);
  }
}

function decodeBatch(bytes: Buffer): Message[] {
  const messages: Message[] = [];
  let at = 1;
  while (at < bytes.length) {
    const code = bytes[at] ?? 0;
    const codec = CODECS_BY_CODE[code];
    if (!codec) throw new MalformedFrame(`unknown message ${code}`);
    const {value, offset} = read(codec.type, bytes, at + 1);
    messages.push({kind: codec.kind, ...value} as Message);
    at = offset;
  }
  return messages;
}

function decodeRecord<R>(type: avsc.Type, bytes: Buffer): R {
  const {value, offset} = read(type, bytes, 1);
  if (offset !== bytes.length) throw new MalformedFrame('bytes left over');
  return value as R;
}

function read(
  type: avsc.Type,
  bytes: Buffer,
  at: number,
): {value: object; offset: number} {
  let result;
  try {
    result = type.decode(bytes, at);
  } catch (error) {
    if (error instanceof MalformedFrame) throw error;
    throw new MalformedFrame(`can't read: ${String(error)}`);
  }
  if (result.offset <= at - 1) throw new MalformedFrame('cut short');
  return result;
}

function recordType(name: string, fields: object): avsc.Type {
  const schema = {
    type: 'record',
    name: `Record_${name}`,
    fields: Object.entries(fields).map(([field, type]: [string, unknown]) => ({
      name: field,
      type,
    })),
  };
  return avsc.Type.forSchema(schema as avsc.Schema, {
    logicalTypes: LOGICAL_TYPE_CLASSES,
    omitRecordMethods: true,
  });
}

function weighList(items: readonly unknown[]): number {
  let bytes = 0;
  for (const item of items) bytes += weighItem(item);
  return bytes;
}

function weighItem(item: unknown): number {
  if (typeof item === 'string') return FIXED_BYTES / 16 + weighText(item);
  if (typeof item !== 'object' || item === null) return FIXED_BYTES / 16;
  let bytes = FIXED_BYTES / 8;
  for (const field of Object.values(item) as unknown[]) {
    if (typeof field === 'string') bytes += weighText(field);
  }
  return bytes;
}

function weighText(text: string): number {
  if (text.length < LONG_TEXT) return text.length * MAX_UTF8_BYTES;
  return Buffer.byteLength(text);
}
