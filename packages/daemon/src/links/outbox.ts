/**
 * @fileoverview Queues messages to other daemons until the link to the
 * recipient is open. An attempt whose dispatch never reached a link is reported
 * as not sent: it can't have run, so a retry is safe.
 */

import type {Address, AttemptId, MemberId, Message} from '@jackdawfall/core';

/** The operations on links that the outbox uses. */
export interface LinkPort {
  /** Whether a link with this member is open. */
  isOpen(to: MemberId): boolean;
  /** Starts to open a link unless one is open or opening. */
  connect(to: MemberId, address: Address): void;
  /** Sends over the open or opening link, or over a new one if there is none. */
  send(to: MemberId, address: Address, message: Message): void;
}

/** Notifications from the outbox. */
export interface OutboxEvents {
  /** No byte of this attempt was or will be written to a link. */
  dispatchNotSent(attempt: AttemptId): void;
}

/** Messages waiting for the link to one member. */
interface PeerQueue {
  readonly messages: Message[];
  readonly timer: NodeJS.Timeout;
}

/** Maximum number of messages waiting for one member. */
const MAX_QUEUED = 2048;

/** Sends messages to other members, in order for each member. */
export class Outbox {
  private readonly queues = new Map<MemberId, PeerQueue>();

  /**
   * @param links - The links.
   * @param events - Receives the attempts that could not be sent.
   * @param linkTimeoutMs - Maximum wait for a link to open, in milliseconds.
   */
  constructor(
    private readonly links: LinkPort,
    private readonly events: OutboxEvents,
    private readonly linkTimeoutMs: number,
  ) {}

  /**
   * Sends a message, or queues it until the link to the member is open.
   *
   * @param to - The recipient.
   * @param address - Address where the recipient accepts links; if null, no
   *     new link is opened for the message.
   * @param message - The message.
   */
  send(to: MemberId, address: Address | null, message: Message): void {
    const queue = this.queues.get(to);
    if (queue !== undefined) {
      this.enqueue(queue, message);
      return;
    }
    if (this.links.isOpen(to)) {
      // An open link is found by member, so its address isn't used.
      this.links.send(to, address ?? ('' as Address), message);
      return;
    }
    if (address === null) {
      this.reportNotSent(message);
      return;
    }
    this.links.connect(to, address);
    const timer = setTimeout(() => this.failQueue(to), this.linkTimeoutMs);
    const newQueue = {messages: [], timer};
    this.queues.set(to, newQueue);
    this.enqueue(newQueue, message);
  }

  /**
   * Sends the messages queued for a member whose link has opened.
   *
   * @param peer - The member.
   */
  flushQueue(peer: MemberId): void {
    for (const message of this.takeQueue(peer)) {
      this.links.send(peer, '' as Address, message);
    }
  }

  /**
   * Discards the messages queued for a member and reports the attempts among
   * them as not sent.
   *
   * @param peer - The member, whose link was lost or didn't open in time.
   */
  failQueue(peer: MemberId): void {
    for (const message of this.takeQueue(peer)) this.reportNotSent(message);
  }

  /** Removes the queue of a member and returns its messages. */
  private takeQueue(peer: MemberId): readonly Message[] {
    const queue = this.queues.get(peer);
    if (queue === undefined) return [];
    clearTimeout(queue.timer);
    this.queues.delete(peer);
    return queue.messages;
  }

  private enqueue(queue: PeerQueue, message: Message): void {
    if (queue.messages.length >= MAX_QUEUED) this.reportNotSent(message);
    else queue.messages.push(message);
  }

  /** Only a dispatch starts an attempt; other messages are just discarded. */
  private reportNotSent(message: Message): void {
    if (message.kind === 'dispatch') {
      this.events.dispatchNotSent(message.attempt);
    }
  }
}
