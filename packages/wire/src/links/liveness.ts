/**
 * @fileoverview Decides when a link sends heartbeats and when its silence means
 * that it is lost. Both depend on use: a side that expects a frame watches for
 * it, a side that owes one sends it, and an idle link has no heartbeats at all.
 */

import type {AttemptId, Message} from '@jackdawfall/core';

/** What a link does at the end of a heartbeat interval. */
export type LivenessAction =
  | 'nothing'
  /** Send a heartbeat to a peer that may expect a frame. */
  | 'ping'
  /** Ask the peer for a heartbeat. */
  | 'probe'
  /** The peer has been silent for too long: the link is lost. */
  | 'silent'
  /** The link has been idle for too long: close it. */
  | 'idle';

/** Limits in heartbeat intervals. */
export interface LivenessLimits {
  /** Intervals without a frame from a peer that owes one; then it is silent. */
  readonly maxSilentIntervals: number;
  /** Intervals without a message after which the link is idle. */
  readonly maxIdleIntervals: number;
}

/** What a message means for the liveness of its link. */
type MessageRole =
  /** Begins an attempt; both sides probe the link until the attempt ends. */
  | 'opens'
  /** Ends an attempt. */
  | 'settles'
  /** The receiver must send a frame, at least a ping, within an interval. */
  | 'expects'
  /** Has no effect. */
  | 'plain';

/** Tracks the liveness of one link. */
export class Liveness {
  /** Attempts that have not ended; shared by all links with one peer. */
  attempts = new Set<AttemptId>();
  /** Whether the peer owes a frame for a message. */
  private expectsFrame = false;
  /** Whether this side owes a frame for a message. */
  private owesFrame = false;
  private silentIntervals = 0;
  private idleIntervals = 0;

  /** @param limits - When a link counts as silent and as idle. */
  constructor(private readonly limits: LivenessLimits) {}

  /** Whether this side expects frames from the peer. */
  get awaitsPeer(): boolean {
    return this.expectsFrame || this.attempts.size > 0;
  }

  /**
   * Records that a message is about to be sent.
   *
   * @param message - The message.
   */
  messageSent(message: Message): void {
    if (this.recordUse(message)) this.expectsFrame = true;
  }

  /**
   * Records that a message was received.
   *
   * @param message - The message.
   */
  messageReceived(message: Message): void {
    if (this.recordUse(message)) this.owesFrame = true;
  }

  /** Records that a frame of any kind was received. */
  frameReceived(): void {
    this.silentIntervals = 0;
    this.expectsFrame = false;
  }

  /** Records that a frame of any kind was written. */
  frameWritten(): void {
    this.owesFrame = false;
  }

  /**
   * Ends a heartbeat interval.
   *
   * @returns What the link has to do.
   */
  tick(): LivenessAction {
    this.idleIntervals += 1;
    this.silentIntervals = this.awaitsPeer ? this.silentIntervals + 1 : 0;
    if (this.silentIntervals > this.limits.maxSilentIntervals) return 'silent';
    if (this.attempts.size > 0 && this.silentIntervals > 1) return 'probe';
    if (this.owesFrame) return 'ping';
    if (this.awaitsPeer) return 'nothing';
    return this.idleIntervals > this.limits.maxIdleIntervals
      ? 'idle'
      : 'nothing';
  }

  /** Returns whether the receiver of the message owes a frame. */
  private recordUse(message: Message): boolean {
    this.idleIntervals = 0;
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
