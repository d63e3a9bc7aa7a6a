/** @fileoverview Frames of a link and the errors of their encoding. */

import type {
  Address,
  MemberId,
  Message,
  WorkspaceName,
} from '@jackdawfall/core';

/** The first frame that each side of a link sends: its handshake. */
export interface Hello {
  readonly kind: 'hello';
  /** Protocol version of the sender. */
  readonly protocol: number;
  readonly workspace: WorkspaceName;
  /** Member id of the sender. */
  readonly member: MemberId;
  /** `ip:port` at which the sender accepts links. */
  readonly address: Address;
  /**
   * Member id that the dialling side expects at the address it dialled; empty
   * from the accepting side.
   */
  readonly wanted: string;
  /**
   * Number of times that the sender has lost or closed its links with the
   * receiver. If it has increased, links that are still open at the receiver no
   * longer exist at the sender.
   */
  readonly losses: number;
}

/** The unit of transfer over a link. */
export type Frame =
  | Hello
  /** A heartbeat. */
  | {readonly kind: 'ping'}
  /** Asks the receiver to send a `ping` immediately. */
  | {readonly kind: 'probe'}
  /**
   * The sender closes a link that was idle for too long. The receiver closes it
   * as well, and neither counts it as a failure.
   */
  | {readonly kind: 'farewell'}
  /** Messages queued in one turn of the sender's event loop, in order. */
  | {readonly kind: 'batch'; readonly messages: readonly Message[]}
  /** The sender refuses the link after the receiver's hello. */
  | {readonly kind: 'refusal'; readonly reason: string};

/** A received frame doesn't conform to the protocol. */
export class MalformedFrame extends Error {
  override readonly name = 'MalformedFrame';
}

/** A message can't be sent: it is too large or a field has a wrong type. */
export class UnsendableMessage extends Error {
  override readonly name = 'UnsendableMessage';
}
