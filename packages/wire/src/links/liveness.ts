/**
 * @fileoverview When a link proves its life and when its silence counts.
 * Both follow use: a side that awaits something listens, a side that owes an
 * answer gives a sign, and an unused link costs no heartbeats at all.
 */

import type {AttemptId, Message} from '@jackdawfall/core';

/** What one heartbeat turn demands. */
export type LivenessAction =
  | 'nothing'
  /** Show life to a peer that may wait for it. */
  | 'ping'
  /** Ask the peer for a sign of life. */
  | 'probe'
  /** The peer has been silent for too long. */
  | 'silent'
  /** Nobody has used the link for long. */
  | 'unused';

/** Numbers of heartbeat turns. */
export interface LivenessLimits {
  /** Turns in silence, while something is awaited, that lose the link. */
  readonly maxSilentIntervals: number;
  /** Turns without a message after which the link is unused. */
  readonly maxIdleIntervals: number;
}

type MessageRole =
  /** Begins an attempt; the link is watched until it is settled. */
  | 'opens'
  /** Ends an attempt. */
  | 'settles'
  /** The receiver shows within a turn that it came. */
  | 'expects'
  | 'plain';

/** The liveness of one link. */
export class Liveness {
  /** Attempts not settled; shared by all links with one peer. */
  attempts = new Set<AttemptId>();
  private awaits = false;
  private owes = false;
  private silentTurns = 0;
  private unusedTurns = 0;

  /** @param limits - When silence and disuse count. */
  constructor(private readonly limits: LivenessLimits) {}

  /** Whether this side waits for something of the peer. */
  get awaitsPeer(): boolean {
    return this.awaits || this.attempts.size > 0;
  }

  /**
   * A message is about to be sent.
   *
   * @param message - The message.
   */
  messageSent(message: Message): void {
    if (this.note(message)) this.awaits = true;
  }

  /**
   * A message came.
   *
   * @param message - The message.
   */
  messageReceived(message: Message): void {
    if (this.note(message)) this.owes = true;
  }

  /** A frame came, whatever it holds. */
  frameReceived(): void {
    this.silentTurns = 0;
    this.awaits = false;
  }

  /** A frame was written, whatever it holds. */
  frameWritten(): void {
    this.owes = false;
  }

  /**
   * One heartbeat turn passes.
   *
   * @returns What to do.
   */
  tick(): LivenessAction {
    this.unusedTurns += 1;
    this.silentTurns = this.awaitsPeer ? this.silentTurns + 1 : 0;
    if (this.silentTurns > this.limits.maxSilentIntervals) return 'silent';
    if (this.attempts.size > 0 && this.silentTurns > 1) return 'probe';
    if (this.owes) return 'ping';
    if (this.awaitsPeer) return 'nothing';
    return this.unusedTurns > this.limits.maxIdleIntervals
      ? 'unused'
      : 'nothing';
  }

  /** Returns whether the receiver owes a sign of life. */
  private note(message: Message): boolean {
    this.unusedTurns = 0;
    switch (roleOf(message)) {
      case 'opens':
        this.attempts.add(attemptOf(message));
        return true;
      case 'settles':
        this.attempts.delete(attemptOf(message));
        return false;
      case 'expects':
        return true;
      case 'plain':
        return false;
    }
  }
}

function roleOf(message: Message): MessageRole {
  switch (message.kind) {
    case 'dispatch':
    case 'inquire':
      return 'opens';
    case 'end':
    case 'failed':
    case 'cancel':
      return 'settles';
    case 'fate':
      return isFinal(message.state) ? 'settles' : 'plain';
    case 'body':
    case 'renew':
    case 'close':
    case 'pull':
    case 'entries':
    case 'load':
      return 'expects';
    case 'head':
    case 'data':
    case 'credit':
    case 'renewed':
    case 'closed':
    case 'suspect':
    case 'cleared':
    case 'configuration':
      return 'plain';
  }
}

function isFinal(state: 'never' | 'running' | 'kept' | 'forgotten'): boolean {
  return state === 'never' || state === 'forgotten';
}

function attemptOf(message: Message): AttemptId {
  return 'attempt' in message ? message.attempt : ('' as AttemptId);
}
