/**
 * @fileoverview Decides when a link sends heartbeats and when its silence means
 * that it is lost. Both depend on use. Some messages require the receiver to
 * send a frame: their sender checks that one arrives, and their receiver sends
 * a ping unless it sent another frame. An idle link has no heartbeats at all.
 */

import type {AttemptId, Message} from '@jackdawfall/core';

/** What a link does at the end of a heartbeat interval. */
export type LivenessAction =
  | 'nothing'
  /** Send a heartbeat to a peer that waits for a frame. */
  | 'ping'
  /** Ask the peer for a heartbeat. */
  | 'probe'
  /** The peer has been silent for too long: the link is lost. */
  | 'silent'
  /** The link has been idle for too long: close it. */
  | 'idle';

/** Limits in heartbeat intervals. */
export interface LivenessLimits {
  /** Intervals without a required frame after which the peer is silent. */
  readonly maxSilentIntervals: number;
  /** Intervals without a message after which the link is idle. */
  readonly maxIdleIntervals: number;
}

/** What a message means for the liveness of its link. */
type MessageRole =
  /**
   * Starts or inquires about an attempt; the receiver must send a frame, and both
   * sides probe the link until the attempt ends.
   */
  | 'startsAttempt'
  /** Ends an attempt. */
  | 'endsAttempt'
  /** The receiver must send a frame, at least a ping, within an interval. */
  | 'requiresFrame'
  /** Requires no frame. */
  | 'neutral';

/** Tracks the liveness of one link. */
export class Liveness {
  /** Attempts that have not ended; shared by all links with one peer. */
  attempts = new Set<AttemptId>();
  /** Whether a sent message requires the peer to send a frame. */
  private peerMustSendFrame = false;
  /** Whether a received message requires this side to send a frame. */
  private mustSendFrame = false;
  private silentIntervals = 0;
  private idleIntervals = 0;

  /** @param limits - When a link counts as silent and as idle. */
  constructor(private readonly limits: LivenessLimits) {}

  /** Whether this side waits for frames from the peer. */
  get awaitsPeer(): boolean {
    return this.peerMustSendFrame || this.attempts.size > 0;
  }

  /**
   * Records that a message is about to be sent.
   *
   * @param message - The message.
   */
  messageSent(message: Message): void {
    if (this.recordUse(message)) this.peerMustSendFrame = true;
  }

  /**
   * Records that a message was received.
   *
   * @param message - The message.
   */
  messageReceived(message: Message): void {
    if (this.recordUse(message)) this.mustSendFrame = true;
  }

  /** Records that a frame of any kind was received. */
  frameReceived(): void {
    this.silentIntervals = 0;
    this.peerMustSendFrame = false;
  }

  /** Records that a frame of any kind was written. */
  frameWritten(): void {
    this.mustSendFrame = false;
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
    if (this.mustSendFrame) return 'ping';
    if (this.awaitsPeer) return 'nothing';
    return this.idleIntervals > this.limits.maxIdleIntervals
      ? 'idle'
      : 'nothing';
  }

  /** Returns whether the message requires its receiver to send a frame. */
  private recordUse(message: Message): boolean {
    this.idleIntervals = 0;
    switch (roleOf(message)) {
      case 'startsAttempt':
        this.attempts.add(attemptOf(message));
        return true;
      case 'endsAttempt':
        this.attempts.delete(attemptOf(message));
        return false;
      case 'requiresFrame':
        return true;
      case 'neutral':
        return false;
    }
  }
}

function roleOf(message: Message): MessageRole {
  switch (message.kind) {
    case 'dispatch':
    case 'inquire':
      return 'startsAttempt';
    case 'end':
    case 'failed':
    case 'cancel':
      return 'endsAttempt';
    case 'fate':
      return isFinal(message.state) ? 'endsAttempt' : 'neutral';
    case 'body':
    case 'renew':
    case 'close':
    case 'pull':
    case 'entries':
    case 'load':
      return 'requiresFrame';
    case 'head':
    case 'data':
    case 'credit':
    case 'renewed':
    case 'closed':
    case 'suspect':
    case 'cleared':
    case 'configuration':
    case 'propose':
    case 'configurationNumber':
    case 'configurationConfirmed':
    case 'quotaDemand':
    case 'quotaShares':
      return 'neutral';
  }
}

function isFinal(state: 'never' | 'running' | 'kept' | 'forgotten'): boolean {
  return state === 'never' || state === 'forgotten';
}

function attemptOf(message: Message): AttemptId {
  return 'attempt' in message ? message.attempt : ('' as AttemptId);
}
