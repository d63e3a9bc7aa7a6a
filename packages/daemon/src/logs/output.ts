/**
 * @fileoverview Standard output that never blocks the process: lines are
 * buffered while the reader is slow and dropped when the buffer is full.
 */

import {Socket} from 'node:net';
import type {Writable} from 'node:stream';

import {isatty} from 'node:tty';
import {fstatSync} from 'node:fs';

/** Maximum size of buffered lines. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Writes lines to a stream without blocking. */
export class LineWriter {
  private droppedCount = 0;

  /** @param stream - The stream to write to. */
  constructor(private readonly stream: Writable) {
    // The reader has closed the stream, so the error can't be reported.
    stream.on('error', () => undefined);
  }

  /**
   * Writes a line, or drops it if the buffer is full.
   *
   * @param line - The line with its line terminator.
   */
  write(line: string): void {
    if (this.stream.writableLength > MAX_BUFFERED_BYTES) this.droppedCount += 1;
    else this.stream.write(line);
  }

  /**
   * Returns and resets the number of dropped lines.
   *
   * @returns The number of lines dropped since the last call; 0 while the
   *     buffer is full, since a report would be dropped as well.
   */
  takeDroppedCount(): number {
    const {droppedCount} = this;
    if (this.stream.writableLength > MAX_BUFFERED_BYTES) return 0;
    this.droppedCount = 0;
    return droppedCount;
  }
}

/**
 * Creates a line writer for a file descriptor. Node writes to pipes and
 * sockets on standard output synchronously, so these are opened as a socket,
 * which is asynchronous; files and terminals use Node's own stream.
 *
 * @param fileDescriptor - The file descriptor.
 * @returns The line writer.
 */
export function openLineWriter(fileDescriptor: number): LineWriter {
  const stats = fstatSync(fileDescriptor);
  const isPipe = stats.isFIFO() || stats.isSocket();
  if (!isPipe || isatty(fileDescriptor)) return new LineWriter(process.stdout);
  const stream = new Socket({
    fd: fileDescriptor,
    readable: false,
    writable: true,
  });
  stream.unref();
  return new LineWriter(stream);
}
