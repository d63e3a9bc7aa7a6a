/**
 * @fileoverview One link: a stream with a handshake, a bounded send queue and
 * heartbeats.
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

/** Receives the events of a link. */
export interface LinkListener {
  /** Checks the peer's hello; returns a reason to refuse the link, or null. */
  helloReceived(link: Link, hello: Hello): string | null;
  messageReceived(link: Link, message: Message): void;
  /** The link has failed; messages in flight may be lost. */
  failed(link: Link, reason: string): void;
  /** The idle link was closed on both sides by a `farewell`; nothing is lost. */
  closedIdle(link: Link): void;
}

/** Limits of one link. */
export interface LinkLimits extends LivenessLimits {
  /** Maximum duration of the handshake, in heartbeat intervals. */
  readonly maxHandshakeIntervals: number;
  /** Maximum number of bytes queued here or not accepted by the connection. */
  readonly queueBytes: number;
  /** Estimated size of a frame above which the next message starts another. */
  readonly batchBytes: number;
}

/** One stream to or from a peer. */
export class Link {
  /** Set from the start for a dialled link, else by the peer's hello. */
  peer: MemberId | null;
  address: Address | null;
  state: 'opening' | 'open' | 'ended' = 'opening';
  /** Bytes queued here or not yet accepted by the connection. */
  bufferedBytes = 0;
  private queue: Message[] = [];
  /** Estimated size of the queued messages, in bytes. */
  private queuedBytes = 0;
  private flushScheduled = false;
  /** Heartbeat intervals since the start of the handshake. */
  private handshakeIntervals = 0;
  readonly liveness: Liveness;

  /**
   * @param stream - The stream that carries the frames.
   * @param listener - Receives the events of the link.
   * @param limits - Limits of time and size.
   * @param dialled - The peer this side dialled, or null when accepted.
   */
  constructor(
    private readonly stream: FrameStream,
    private readonly listener: LinkListener,
    private readonly limits: LinkLimits,
    readonly dialled: {peer: MemberId; address: Address} | null,
  ) {
    this.peer = dialled?.peer ?? null;
    this.address = dialled?.address ?? null;
    this.liveness = new Liveness(limits);
    stream.onFrame(bytes => this.receive(bytes));
    stream.onEnd(reason => this.fail(reason));
  }

  /**
   * Sends this side's hello.
   *
   * @param hello - The hello.
   */
  sendHello(hello: Hello): void {
    this.write(hello);
  }

  /**
   * Queues a message, which is sent with others at the end of this turn of the
   * event loop.
   *
   * @param message - The message.
   * @throws UnsendableMessage when it is too large for any frame.
   */
  send(message: Message): void {
    const size = estimateSize(message);
    if (size > MAX_MESSAGE_BYTES) {
      throw new UnsendableMessage(`${message.kind} of ${size} bytes`);
    }
    if (this.state === 'ended') return;
    this.liveness.messageSent(message);
    this.bufferedBytes += size;
    this.queuedBytes += size;
    this.queue.push(message);
    this.scheduleFlush();
  }

  /** Ends a heartbeat interval: checks the peer and sends heartbeats. */
  tick(): void {
    switch (this.state) {
      case 'opening':
        this.handshakeIntervals += 1;
        if (this.handshakeIntervals > this.limits.maxHandshakeIntervals) {
          this.fail('not opened in time');
        }
        return;
      case 'open':
        this.tickOpen();
        return;
      case 'ended':
        return;
    }
  }

  /**
   * Refuses the peer and ends the link.
   *
   * @param reason - Sent to the peer.
   */
  refuse(reason: string): void {
    this.write({kind: 'refusal', reason});
    this.state = 'ended';
    this.stream.end();
  }

  private tickOpen(): void {
    const action = this.liveness.tick();
    switch (action) {
      case 'nothing':
        return;
      case 'ping':
      case 'probe':
        this.write({kind: action});
        return;
      case 'silent':
        this.fail('silent');
        return;
      case 'idle':
        this.closeIdle();
        return;
    }
  }

  private closeIdle(): void {
    if (this.bufferedBytes > 0) return;
    this.write({kind: 'farewell'});
    this.close(() => this.stream.end());
    this.listener.closedIdle(this);
  }

  /** Sends queued messages, then ends the stream; the listener isn't called. */
  finish(): void {
    if (this.state === 'open') this.tryFlush();
    this.close(() => this.stream.end());
  }

  /** Ends the link immediately; the listener isn't called. */
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
    this.listener.failed(this, reason);
  }

  private receive(bytes: Buffer): void {
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
        this.handleFarewell();
        return;
      case 'hello':
        this.handleHello(frame);
        return;
      case 'refusal':
        this.fail(`refused: ${frame.reason}`);
        return;
      case 'batch':
        this.handleBatch(frame.messages);
        return;
    }
  }

  private handleHello(hello: Hello): void {
    if (this.state !== 'opening') {
      this.fail('second hello');
      return;
    }
    const refusalReason = this.listener.helloReceived(this, hello);
    if (refusalReason !== null) {
      this.refuseHello(refusalReason);
      return;
    }
    this.state = 'open';
    if (this.queue.length > 0) this.scheduleFlush();
  }

  /** Closes the link as the peer did; a link that is not idle here has failed. */
  private handleFarewell(): void {
    if (this.liveness.awaitsPeer || this.bufferedBytes > 0) {
      this.fail('ended by the peer');
      return;
    }
    this.destroy();
    this.listener.closedIdle(this);
  }

  /** The dialling side reports the failure; the accepting side tells the peer. */
  private refuseHello(reason: string): void {
    if (this.dialled) this.fail(reason);
    else this.refuse(reason);
  }

  private handleBatch(messages: readonly Message[]): void {
    if (this.state !== 'open') {
      this.fail('messages before hello');
      return;
    }
    for (const message of messages) {
      if (!this.isOpen()) return;
      this.liveness.messageReceived(message);
      this.listener.messageReceived(this, message);
    }
  }

  private isOpen(): boolean {
    return this.state === 'open';
  }

  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      this.flushBounded();
    });
  }

  private flushBounded(): void {
    if (this.state === 'ended') return;
    if (this.bufferedBytes > this.limits.queueBytes) {
      this.fail('the peer takes too little');
      return;
    }
    if (this.state === 'open') this.tryFlush();
  }

  /** A message that can't be encoded fails the link, not the process. */
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
    this.bufferedBytes -= this.queuedBytes;
    this.queuedBytes = 0;
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

/** Returns the index after the last message of a batch from `from`. */
function endOfBatch(
  queue: readonly Message[],
  from: number,
  batchBytes: number,
): number {
  let size = 0;
  for (let at = from; at < queue.length; at += 1) {
    const message = queue[at];
    if (message) size += estimateSize(message);
    if (size > batchBytes && at > from) return at;
  }
  return queue.length;
}
