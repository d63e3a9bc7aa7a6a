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
  /** The member that the dialling side wants; empty from the accepting side. */
  readonly wanted: string;
  /** Number of links with the receiver that the sender has lost or closed. */
  readonly losses: number;
}

/** The unit of transfer over a link. */
export type Frame =
  | Hello
  /** A heartbeat. */
  | {readonly kind: 'ping'}
  /** Requests a `ping` at once. */
  | {readonly kind: 'probe'}
  /** The sender closes a link that was idle for too long. */
  | {readonly kind: 'farewell'}
  /** Messages queued in one turn of the sender's event loop, in order. */
  | {readonly kind: 'batch'; readonly messages: readonly Message[]}
  /** The sender refuses the link. */
  | {readonly kind: 'refusal'; readonly reason: string};

/** A received frame doesn't conform to the protocol. */
export class MalformedFrame extends Error {
  override readonly name = 'MalformedFrame';
}

/** A message can't be sent: it is too large or a field has a wrong type. */
export class UnsendableMessage extends Error {
  override readonly name = 'UnsendableMessage';
}
