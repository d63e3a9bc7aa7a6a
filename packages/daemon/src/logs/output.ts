/**
 * @fileoverview Standard output that never blocks the process: lines wait in
 * memory while nobody reads, and are left out when too many wait.
 */

import {Socket} from 'node:net';
import type {Writable} from 'node:stream';

import {isatty} from 'node:tty';
import {fstatSync} from 'node:fs';

/** Bytes that wait for a reader at most. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Writes lines to a stream. */
export class LineWriter {
  private lost = 0;

  /** @param stream - Where lines go. */
  constructor(private readonly stream: Writable) {
    // Nobody can be told of it: the reader is gone.
    stream.on('error', () => undefined);
  }

  /**
   * Writes a line unless too much waits.
   *
   * @param line - The line with its end.
   */
  write(line: string): void {
    if (this.stream.writableLength > MAX_WAITING_BYTES) this.lost += 1;
    else this.stream.write(line);
  }

  /**
   * Counts the lines that were left out since the last call.
   *
   * @returns How many.
   */
  takeDroppedCount(): number {
    const {lost} = this;
    if (this.stream.writableLength > MAX_WAITING_BYTES) return 0;
    this.lost = 0;
    return lost;
  }
}

/**
 * Opens an output on a descriptor.
 *
 * @param descriptor - Number of the descriptor.
 * @returns The output; files and terminals are written as Node does.
 */
export function openOutput(descriptor: number): LineWriter {
  const about = fstatSync(descriptor);
  const waits = about.isFIFO() || about.isSocket();
  if (!waits || isatty(descriptor)) return new LineWriter(process.stdout);
  const stream = new Socket({fd: descriptor, readable: false, writable: true});
  stream.unref();
  return new LineWriter(stream);
}
