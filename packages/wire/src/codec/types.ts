/** @fileoverview Frames that travel over a link, and what can be wrong. */

import type {
  Address,
  MemberId,
  Message,
  WorkspaceName,
} from '@jackdawfall/core';

/** First frame of both sides of a link. */
export interface Hello {
  readonly kind: 'hello';
  /** Number of the protocol the sender speaks. */
  readonly protocol: number;
  readonly workspace: WorkspaceName;
  /** The sender. */
  readonly member: MemberId;
  /** Where the sender accepts links. */
  readonly address: Address;
  /** The member the sender wants to reach, or empty when it answers. */
  readonly wanted: string;
  /** How often the sender has lost or closed links with the receiver. */
  readonly losses: number;
}

/** One unit of a link's stream. */
export type Frame =
  | Hello
  /** A sign of life. */
  | {readonly kind: 'ping'}
  /** Asks for a sign of life at once. */
  | {readonly kind: 'probe'}
  /** The sender ends a link that nobody used for long. */
  | {readonly kind: 'farewell'}
  /** The messages of one turn of the sender's loop, in order. */
  | {readonly kind: 'batch'; readonly messages: readonly Message[]}
  /** The link is refused. */
  | {readonly kind: 'refusal'; readonly reason: string};

/** A received frame is not one that this protocol knows. */
export class MalformedFrame extends Error {
  override readonly name = 'MalformedFrame';
}

/** A message can't be sent: too large, or a field of the wrong shape. */
export class UnsendableMessage extends Error {
  override readonly name = 'UnsendableMessage';
}
