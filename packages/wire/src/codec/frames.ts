/**
 * @fileoverview Encodes and decodes frames. A frame is one byte for its kind
 * and its content. The content of a batch is a sequence of messages, each one
 * byte for its kind and an Avro record. A frame is decoded completely before
 * any of its messages is returned.
 */

import avsc from 'avsc';
import type {Message} from '@jackdawfall/core';
import {LOGICAL_TYPE_CLASSES} from './logical_types.js';
import {HELLO_SCHEMA, MESSAGE_SCHEMAS} from './schemas.js';
import {MalformedFrame, UnsendableMessage} from './types.js';
import type {Frame, Hello} from './types.js';

/** Maximum size of a frame, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
/** Maximum size of a message as given by `estimateSize`, in bytes. */
export const MAX_MESSAGE_BYTES = 2 * 1024 * 1024;

/** Allowance in an estimate for everything but texts, bytes and lists. */
const FIXED_BYTES = 160;
/** Maximum number of UTF-8 bytes for one UTF-16 code unit. */
const MAX_UTF8_BYTES = 3;
/** Texts of at least this length are counted in bytes instead of estimated. */
const MIN_COUNTED_LENGTH = 64;

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
 * Computes an upper bound of a message's encoded size without encoding it.
 *
 * @param message - The message.
 * @returns Size in bytes, never less than the encoded size.
 */
export function estimateSize(message: Message): number {
  let bytes = FIXED_BYTES;
  for (const field of Object.values(message) as unknown[]) {
    if (typeof field === 'string') bytes += estimateText(field);
    else if (field instanceof Uint8Array) bytes += field.byteLength;
    else if (Array.isArray(field)) bytes += estimateList(field);
  }
  return bytes;
}

/**
 * Encodes a frame.
 *
 * @param frame - The frame.
 * @returns Its bytes.
 * @throws UnsendableMessage when a field has a wrong type.
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
 * Decodes a frame.
 *
 * @param bytes - The encoded frame. Byte fields of messages refer to it, so it
 *     must not be reused.
 * @returns The frame.
 * @throws MalformedFrame when any part can't be decoded.
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
  // avsc returns a negative offset when the buffer is too small.
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
  if (offset !== bytes.length) throw new MalformedFrame('bytes after the end');
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
  // avsc returns the offset -1 when bytes are missing.
  if (result.offset <= at - 1) throw new MalformedFrame('truncated frame');
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

function estimateList(items: readonly unknown[]): number {
  let bytes = 0;
  for (const item of items) bytes += estimateItem(item);
  return bytes;
}

function estimateItem(item: unknown): number {
  if (typeof item === 'string') return FIXED_BYTES / 16 + estimateText(item);
  if (typeof item !== 'object' || item === null) return FIXED_BYTES / 16;
  let bytes = FIXED_BYTES / 8;
  for (const field of Object.values(item) as unknown[]) {
    if (typeof field === 'string') bytes += estimateText(field);
  }
  return bytes;
}

function estimateText(text: string): number {
  if (text.length < MIN_COUNTED_LENGTH) return text.length * MAX_UTF8_BYTES;
  return Buffer.byteLength(text);
}
