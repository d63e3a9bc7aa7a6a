/**
 * @fileoverview Avro logical types, which convert fields between their encoded
 * and in-memory forms. Each rejects invalid values, so the decoding of a
 * truncated or corrupt frame stops at the first such field. Otherwise it could
 * continue with a list whose claimed length is arbitrarily large.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';

import avsc from 'avsc';
import {ERROR_CODES, FATE_CODES, PRIORITY_CODES, RUN_CODES} from './schemas.js';
import {MalformedFrame, UnsendableMessage} from './types.js';

type LogicalClass = new (
  schema: avsc.Schema,
  options?: unknown,
) => avsc.types.LogicalType;

const INT32_BYTES = 4;
const DOUBLE_BYTES = 8;
/** avsc encodes larger integers inexactly. */
const MAX_COUNT = 2 ** 52 - 1;
/** Maximum size of a compressed text once it is inflated, in bytes. */
const MAX_INFLATED_BYTES = 4 * 1024 * 1024;
/** The fastest level; JSON shrinks well at any. */
const COMPRESSION_LEVEL = 1;

/** Non-negative integers such as versions, rounds and sizes. */
class Count extends avsc.types.LogicalType {
  protected override _fromValue(value: number): number {
    if (!isCount(value)) throw new MalformedFrame(`not a count: ${value}`);
    return value;
  }
  protected override _toValue(value: number): number {
    if (!isCount(value)) throw new UnsendableMessage(`not a count: ${value}`);
    return value;
  }
}

/** Byte strings as `Uint8Array`. */
class Octets extends avsc.types.LogicalType {
  protected override _fromValue(value: Buffer | undefined): Uint8Array {
    if (value === undefined) throw new MalformedFrame('truncated bytes');
    return value;
  }
  protected override _toValue(value: Uint8Array): Buffer {
    if (Buffer.isBuffer(value)) return value;
    return Buffer.from(value.buffer, value.byteOffset, value.byteLength);
  }
}

/** Long texts, compressed. */
class CompressedText extends avsc.types.LogicalType {
  /** The latest text; the same one is often sent to several peers. */
  private latest: {readonly text: string; readonly bytes: Buffer} | null = null;

  protected override _fromValue(value: Buffer | undefined): string {
    if (value === undefined) throw new MalformedFrame('truncated text');
    try {
      const options = {maxOutputLength: MAX_INFLATED_BYTES};
      return inflateRawSync(value, options).toString('utf8');
    } catch (error) {
      throw new MalformedFrame(`can't inflate: ${String(error)}`);
    }
  }
  protected override _toValue(value: string): Buffer {
    if (this.latest?.text !== value) {
      const bytes = deflateRawSync(value, {level: COMPRESSION_LEVEL});
      this.latest = {text: value, bytes};
    }
    return this.latest.bytes;
  }
}

/** Lists of 32-bit integers, packed little-endian. */
class Integers extends avsc.types.LogicalType {
  protected override _fromValue(value: Buffer | undefined): number[] {
    const bytes = packedItems(value, INT32_BYTES);
    return Array.from({length: bytes.length / INT32_BYTES}, (_, i) =>
      bytes.readInt32LE(i * INT32_BYTES),
    );
  }
  protected override _toValue(value: readonly number[]): Buffer {
    const bytes = Buffer.allocUnsafe(value.length * INT32_BYTES);
    value.forEach((item, i) => bytes.writeInt32LE(item, i * INT32_BYTES));
    return bytes;
  }
}

/** Lists of 64-bit floating point numbers, packed little-endian. */
class Doubles extends avsc.types.LogicalType {
  protected override _fromValue(value: Buffer | undefined): number[] {
    const bytes = packedItems(value, DOUBLE_BYTES);
    return Array.from({length: bytes.length / DOUBLE_BYTES}, (_, i) =>
      bytes.readDoubleLE(i * DOUBLE_BYTES),
    );
  }
  protected override _toValue(value: readonly number[]): Buffer {
    const bytes = Buffer.allocUnsafe(value.length * DOUBLE_BYTES);
    value.forEach((item, i) => bytes.writeDoubleLE(item, i * DOUBLE_BYTES));
    return bytes;
  }
}

/** A list whose items validate themselves. */
class List extends avsc.types.LogicalType {
  protected override _fromValue(value: unknown[]): unknown[] {
    return value;
  }
  protected override _toValue(value: readonly unknown[]): unknown[] {
    return value as unknown[];
  }
}

/**
 * An item of a list. avsc reads past the end of a truncated frame without an
 * error; a missing text field reveals it.
 */
function itemClass(text: 'value' | 'text'): LogicalClass {
  return class extends avsc.types.LogicalType {
    protected override _fromValue(value: Record<string, unknown>): unknown {
      if (typeof value[text] !== 'string') {
        throw new MalformedFrame('truncated list');
      }
      return {...value};
    }
    protected override _toValue(value: unknown): unknown {
      return value;
    }
  };
}

/** A value of an enumeration, encoded as its code. */
function enumClass(codes: Readonly<Record<string, number>>): LogicalClass {
  const names = new Map<number, string>();
  for (const [name, code] of Object.entries(codes)) names.set(code, name);
  return class extends avsc.types.LogicalType {
    protected override _fromValue(value: number): string {
      const name = names.get(value);
      if (name === undefined) throw new MalformedFrame(`bad code: ${value}`);
      return name;
    }
    protected override _toValue(value: string): number {
      const code = codes[value];
      if (code === undefined) throw new UnsendableMessage(`no code: ${value}`);
      return code;
    }
  };
}

/** Classes of the logical types by their names in the schemas. */
export const LOGICAL_TYPE_CLASSES: Readonly<Record<string, LogicalClass>> = {
  count: Count,
  octets: Octets,
  compressedText: CompressedText,
  integers: Integers,
  doubles: Doubles,
  headers: List,
  entries: List,
  header: itemClass('value'),
  entry: itemClass('text'),
  error: enumClass(ERROR_CODES),
  run: enumClass(RUN_CODES),
  priority: enumClass(PRIORITY_CODES),
  fate: enumClass(FATE_CODES),
};

function isCount(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= MAX_COUNT;
}

/** Checks that a field is present and holds whole items. */
function packedItems(value: Buffer | undefined, itemBytes: number): Buffer {
  if (value === undefined) throw new MalformedFrame('truncated list');
  if (value.length % itemBytes !== 0) {
    throw new MalformedFrame('list length not a multiple of the item size');
  }
  return value;
}
