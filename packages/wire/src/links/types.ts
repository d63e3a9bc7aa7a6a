/** @fileoverview What a daemon gives its links and hears from them. */

import type {
  Address,
  MemberId,
  Message,
  Tuning,
  WorkspaceName,
} from '@jackdawfall/core';

/** How this daemon presents itself to its peers. */
export interface SelfDescription {
  readonly member: MemberId;
  /** `ip:port` that peers dial. */
  readonly address: Address;
  readonly workspace: WorkspaceName;
}

/** Where links are accepted. */
export interface ListenAddress {
  readonly ip: string;
  /** 0 lets the system choose. */
  readonly port: number;
}

/** What links report; never from inside a call of `send` or `drop`. */
export interface LinkObserver {
  message(from: MemberId, message: Message): void;
  opened(peer: MemberId): void;
  /** Everything in flight with this peer, in both directions, is in doubt. */
  lost(peer: MemberId, reason: string): void;
}

/** What `Links` is made of. */
export interface LinksOptions {
  readonly self: SelfDescription;
  readonly listen: ListenAddress;
  readonly tuning: Tuning['links'];
  /** Ends all links and stops listening. */
  readonly signal: AbortSignal;
  readonly on: LinkObserver;
}
