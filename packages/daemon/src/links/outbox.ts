/**
 * @fileoverview Messages to other daemons. An attempt waits here until the
 * link to its member is open, so that one which was never handed to a link is
 * known as unsent.
 */

import type {Address, AttemptId, MemberId, Message} from '@jackdawfall/core';

/** What the outbox asks of the links. */
export interface LinkPort {
  /** Whether a link with this member is open. */
  isOpen(to: MemberId): boolean;
  /** Begins to open a link unless one is open or opening. */
  connect(to: MemberId, address: Address): void;
  /** Sends over an open or opening link, else over a new one. */
  send(to: MemberId, address: Address, message: Message): void;
}

/** What the outbox reports. */
export interface OutboxEvents {
  /** No byte of this attempt was handed to a link, and none will be. */
  unsent(attempt: AttemptId): void;
}

/** Messages that wait for one member's link. */
interface Queue {
  readonly messages: Message[];
  readonly timer: NodeJS.Timeout;
}

/** Most messages that wait for one member. */
const MAX_WAITING = 2048;

/** Sends messages in order for each member. */
export class Outbox {
  private readonly queues = new Map<MemberId, Queue>();

  /**
   * @param links - The links.
   * @param events - Told of attempts that can't be sent.
   * @param openMs - Longest wait for a link, in milliseconds.
   */
  constructor(
    private readonly links: LinkPort,
    private readonly events: OutboxEvents,
    private readonly openMs: number,
  ) {}

  /**
   * Sends work, waiting for the link to open.
   *
   * @param to - The member.
   * @param address - Where it accepts links; null uses an open link only.
   * @param message - The message.
   */
  send(to: MemberId, address: Address | null, message: Message): void {
    const queue = this.queues.get(to);
    if (queue !== undefined) {
      this.wait(queue, message);
      return;
    }
    if (this.links.isOpen(to)) {
      this.links.send(to, address ?? ('' as Address), message);
      return;
    }
    if (address === null) {
      this.refuse(message);
      return;
    }
    this.links.connect(to, address);
    const timer = setTimeout(() => this.lost(to), this.openMs);
    const fresh = {messages: [], timer};
    this.queues.set(to, fresh);
    this.wait(fresh, message);
  }

  /**
   * Hands over what waited for a member.
   *
   * @param peer - The member whose link is open now.
   */
  opened(peer: MemberId): void {
    for (const message of this.takeQueue(peer)) {
      this.links.send(peer, '' as Address, message);
    }
  }

  /**
   * Gives up what waited for a member.
   *
   * @param peer - The member whose link could not be opened.
   */
  lost(peer: MemberId): void {
    for (const message of this.takeQueue(peer)) this.refuse(message);
  }

  private takeQueue(peer: MemberId): readonly Message[] {
    const queue = this.queues.get(peer);
    if (queue === undefined) return [];
    clearTimeout(queue.timer);
    this.queues.delete(peer);
    return queue.messages;
  }

  private wait(queue: Queue, message: Message): void {
    if (queue.messages.length >= MAX_WAITING) this.refuse(message);
    else queue.messages.push(message);
  }

  private refuse(message: Message): void {
    if (message.kind === 'dispatch') this.events.unsent(message.attempt);
  }
}
