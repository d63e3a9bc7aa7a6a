/**
 * @fileoverview One link: a stream with its handshake, its queue, its bound
 * and its heartbeats.
 */

import type {Address, MemberId, Message} from '@jackdawfall/core';
import {
  MAX_MESSAGE_BYTES,
  decodeFrame,
  encodeFrame,
  estimateSize,
} from '../codec/frames.js';
import {UnsendableMessage} from '../codec/types.js';
import type {Frame, Hello} from '../codec/types.js';
import {Liveness} from './liveness.js';
import type {LivenessLimits} from './liveness.js';
import type {FrameStream} from './stream.js';

/** What a link needs of the set of links it belongs to. */
export interface LinkListener {
  /** Judges the peer's first frame; a reason refuses the link. */
  greeted(link: Link, hello: Hello): string | null;
  received(link: Link, message: Message): void;
  ended(link: Link, reason: string): void;
  /** The link was not used for long and is closed by agreement. */
  retired(link: Link): void;
}

/** Limits of one link. */
export interface LinkLimits extends LivenessLimits {
  /** Heartbeat turns the handshake may take. */
  readonly maxHandshakeIntervals: number;
  /** Most bytes waiting to be taken by the connection. */
  readonly queueBytes: number;
  /** Estimated size at which a frame is closed. */
  readonly batchBytes: number;
}

/** One stream to or from a peer. */
export class Link {
  /** Known from the start for a dialled link, else from the peer's hello. */
  peer: MemberId | null;
  address: Address | null;
  state: 'opening' | 'open' | 'ended' = 'opening';
  /** Bytes queued here or not yet taken by the connection. */
  bufferedBytes = 0;
  private queue: Message[] = [];
  private queueWeight = 0;
  private turnScheduled = false;
  private openingTurns = 0;
  readonly liveness: Liveness;

  /**
   * @param stream - The stream below.
   * @param owner - Whom to tell.
   * @param limits - Bounds of time and size.
   * @param dialled - The peer this side asked for, or null when accepted.
   */
  constructor(
    private readonly stream: FrameStream,
    private readonly owner: LinkListener,
    private readonly limits: LinkLimits,
    readonly dialled: {peer: MemberId; address: Address} | null,
  ) {
    this.peer = dialled?.peer ?? null;
    this.address = dialled?.address ?? null;
    this.liveness = new Liveness(limits);
    stream.onFrame(bytes => this.take(bytes));
    stream.onEnd(reason => this.fail(reason));
  }

  /**
   * Sends this side's hello.
   *
   * @param hello - The first frame.
   */
  sendHello(hello: Hello): void {
    this.write(hello);
  }

  /**
   * Queues a message for the end of this turn of the loop.
   *
   * @param message - The message.
   * @throws UnsendableMessage when it is too large for any frame.
   */
  send(message: Message): void {
    const weight = estimateSize(message);
    if (weight > MAX_MESSAGE_BYTES) {
      throw new UnsendableMessage(`${message.kind} of ${weight} bytes`);
    }
    if (this.state === 'ended') return;
    this.liveness.messageSent(message);
    this.bufferedBytes += weight;
    this.queueWeight += weight;
    this.queue.push(message);
    this.scheduleFlush();
  }

  /** One heartbeat turn: notice silence, prove life. */
  tick(): void {
    switch (this.state) {
      case 'opening':
        this.openingTurns += 1;
        if (this.openingTurns > this.limits.maxHandshakeIntervals) {
          this.fail('not opened in time');
        }
        return;
      case 'open':
        this.beatOpen();
        return;
      case 'ended':
        return;
    }
  }

  /**
   * Refuses the peer and ends the link.
   *
   * @param reason - Told to the peer.
   */
  refuse(reason: string): void {
    this.write({kind: 'refusal', reason});
    this.state = 'ended';
    this.stream.end();
  }

  private beatOpen(): void {
    const beat = this.liveness.tick();
    switch (beat) {
      case 'nothing':
        return;
      case 'ping':
      case 'probe':
        this.write({kind: beat});
        return;
      case 'silent':
        this.fail('silent');
        return;
      case 'unused':
        this.retire();
        return;
    }
  }

  private retire(): void {
    if (this.bufferedBytes > 0) return;
    this.write({kind: 'farewell'});
    this.close(() => this.stream.end());
    this.owner.retired(this);
  }

  /** Sends what waits, then ends the stream; nobody is told. */
  finish(): void {
    if (this.state === 'open') this.tryFlush();
    this.close(() => this.stream.end());
  }

  /** Ends the link at once; nobody is told. */
  destroy(): void {
    this.close(() => this.stream.destroy());
  }

  private close(end: () => void): void {
    if (this.state === 'ended') return;
    this.state = 'ended';
    this.queue = [];
    end();
  }

  private fail(reason: string): void {
    if (this.state === 'ended') return;
    this.destroy();
    this.owner.ended(this, reason);
  }

  private take(bytes: Buffer): void {
    if (this.state === 'ended') return;
    this.liveness.frameReceived();
    let frame;
    try {
      frame = decodeFrame(bytes);
    } catch (error) {
      this.fail(String(error));
      return;
    }
    this.handle(frame);
  }

  private handle(frame: Frame): void {
    switch (frame.kind) {
      case 'ping':
        return;
      case 'probe':
        if (this.isOpen()) this.write({kind: 'ping'});
        return;
      case 'farewell':
        this.dismiss();
        return;
      case 'hello':
        this.open(frame);
        return;
      case 'refusal':
        this.fail(`refused: ${frame.reason}`);
        return;
      case 'batch':
        this.deliver(frame.messages);
        return;
    }
  }

  private open(hello: Hello): void {
    if (this.state !== 'opening') {
      this.fail('second hello');
      return;
    }
    const objection = this.owner.greeted(this, hello);
    if (objection !== null) {
      this.reject(objection);
      return;
    }
    this.state = 'open';
    if (this.queue.length > 0) this.scheduleFlush();
  }

  /** The peer ends the link; that is a loss only if something is due. */
  private dismiss(): void {
    if (this.liveness.awaitsPeer || this.bufferedBytes > 0) {
      this.fail('ended by the peer');
      return;
    }
    this.destroy();
    this.owner.retired(this);
  }

  private reject(objection: string): void {
    if (this.dialled) this.fail(objection);
    else this.refuse(objection);
  }

  private deliver(messages: readonly Message[]): void {
    if (this.state !== 'open') {
      this.fail('messages before hello');
      return;
    }
    for (const message of messages) {
      if (!this.isOpen()) return;
      this.liveness.messageReceived(message);
      this.owner.received(this, message);
    }
  }

  private isOpen(): boolean {
    return this.state === 'open';
  }

  private scheduleFlush(): void {
    if (this.turnScheduled) return;
    this.turnScheduled = true;
    setImmediate(() => {
      this.turnScheduled = false;
      this.flushTurn();
    });
  }

  private flushTurn(): void {
    if (this.state === 'ended') return;
    if (this.bufferedBytes > this.limits.queueBytes) {
      this.fail('the peer takes too little');
      return;
    }
    if (this.state === 'open') this.tryFlush();
  }

  private tryFlush(): void {
    try {
      this.flush();
    } catch (error) {
      if (!(error instanceof UnsendableMessage)) throw error;
      this.fail(error.message);
    }
  }

  private flush(): void {
    const queue = this.queue;
    this.queue = [];
    this.bufferedBytes -= this.queueWeight;
    this.queueWeight = 0;
    let from = 0;
    while (from < queue.length) {
      const to = endOfBatch(queue, from, this.limits.batchBytes);
      this.write({kind: 'batch', messages: queue.slice(from, to)});
      from = to;
    }
  }

  private write(frame: Frame): void {
    const bytes = encodeFrame(frame);
    this.bufferedBytes += bytes.length;
    this.liveness.frameWritten();
    this.stream.write(bytes, () => {
      this.bufferedBytes -= bytes.length;
    });
  }
}

function endOfBatch(
  queue: readonly Message[],
  from: number,
  batchBytes: number,
): number {
  let weight = 0;
  for (let at = from; at < queue.length; at += 1) {
    const message = queue[at];
    if (message) weight += estimateSize(message);
    if (weight > batchBytes && at > from) return at;
  }
  return queue.length;
}
