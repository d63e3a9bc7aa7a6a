/** @fileoverview Options of the links and the events they report. */

import type {
  Address,
  MemberId,
  Message,
  Tuning,
  WorkspaceName,
} from '@jackdawfall/core';

/** How this daemon identifies itself to its peers. */
export interface SelfDescription {
  readonly member: MemberId;
  /** `ip:port` that peers dial. */
  readonly address: Address;
  readonly workspace: WorkspaceName;
}

/** Where this daemon listens for links. */
export interface ListenAddress {
  readonly ip: string;
  /** 0 lets the operating system choose. */
  readonly port: number;
}

/** Receives events; never called from inside a call of `send` or `drop`. */
export interface LinkObserver {
  message(from: MemberId, message: Message): void;
  opened(peer: MemberId): void;
  /** Messages in flight with this peer, in both directions, may be lost. */
  lost(peer: MemberId, reason: string): void;
}

/** Options of `Links`. */
export interface LinksOptions {
  readonly self: SelfDescription;
  readonly listen: ListenAddress;
  readonly tuning: Tuning['links'];
  /** When aborted, all links are closed and no new ones accepted. */
  readonly signal: AbortSignal;
  readonly on: LinkObserver;
}
