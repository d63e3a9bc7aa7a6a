/**
 * @fileoverview Links between daemons in virtual time. A cut link is silent, and
 * each end detects that at its own time.
 */

import type {MemberId, Message} from '@jackdawfall/core';

import type {Schedule} from './schedule.js';

/** Maximum time until an end detects that a link is silent. */
const MAX_DETECTION_MS = 1000;
/** Maximum delay of a message that a cut link delivers late. */
const MAX_LATE_MS = 3000;

/** Receives the events of a daemon's links. */
export interface Endpoint {
  /** False after a crash; a frozen daemon is up. */
  readonly isUp: boolean;
  receive(from: MemberId, message: Message): void;
  handleLinkLost(peer: MemberId): void;
  handleDispatchNotSent(message: Message): void;
}

/**
 * All links. The successive links of two daemons are numbered from 0. A daemon
 * sends on the next one after a loss, or once it receives a message on it.
 */
export class Network {
  private readonly endpoints = new Map<MemberId, Endpoint>();
  /** By direction: number of the link on which the end sends. */
  private readonly sendingLinks = new Map<string, number>();
  /** By direction: number of the oldest link from which the end reads. */
  private readonly oldestReadLinks = new Map<string, number>();
  /** By pair of daemons: number of the oldest link that isn't cut. */
  private readonly oldestIntactLinks = new Map<string, number>();
  /** By direction and link: arrival of the latest message, to keep the order. */
  private readonly latestArrivals = new Map<string, number>();

  /**
   * @param schedule - Virtual time.
   * @param delayMs - Delay of a message, in milliseconds.
   */
  constructor(
    private readonly schedule: Schedule,
    private readonly delayMs: number,
  ) {}

  /**
   * Adds a daemon.
   *
   * @param member - Its member id.
   * @param endpoint - Receives its messages and losses.
   */
  add(member: MemberId, endpoint: Endpoint): void {
    this.endpoints.set(member, endpoint);
  }

  /**
   * Sends a message. On a cut link it is lost or delivered late.
   *
   * @param from - The sender.
   * @param to - The receiver.
   * @param message - The message.
   */
  send(from: MemberId, to: MemberId, message: Message): void {
    const sender = this.endpoints.get(from)!;
    const receiver = this.endpoints.get(to)!;
    if (from === to) {
      this.schedule.after(0, () => receiver.receive(from, message));
      return;
    }
    if (!receiver.isUp) {
      this.schedule.after(this.delayMs, () => {
        if (message.kind === 'dispatch') sender.handleDispatchNotSent(message);
        sender.handleLinkLost(to);
      });
      return;
    }
    const link = this.sendingLinks.get(directionOf(from, to)) ?? 0;
    if (link >= (this.oldestIntactLinks.get(pairOf(from, to)) ?? 0)) {
      this.deliver(from, to, link, message, this.delayMs);
    } else if (this.schedule.random() < 0.5) {
      const lateMs = this.schedule.random() * MAX_LATE_MS;
      this.deliver(from, to, link, message, lateMs);
    }
  }

  /**
   * Cuts the current link between two daemons.
   *
   * @param a - One end.
   * @param b - The other end.
   */
  cut(a: MemberId, b: MemberId): void {
    const current = Math.max(
      this.sendingLinks.get(directionOf(a, b)) ?? 0,
      this.sendingLinks.get(directionOf(b, a)) ?? 0,
    );
    this.oldestIntactLinks.set(pairOf(a, b), current + 1);
    this.scheduleDetection(a, b, current + 1);
    this.scheduleDetection(b, a, current + 1);
  }

  private scheduleDetection(end: MemberId, peer: MemberId, next: number): void {
    const wait = this.schedule.random() * MAX_DETECTION_MS;
    this.schedule.after(wait, () => {
      const known = this.oldestReadLinks.get(directionOf(end, peer)) ?? 0;
      if (known >= next) return;
      this.oldestReadLinks.set(directionOf(end, peer), next);
      this.switchTo(end, peer, next);
      this.endpoints.get(end)!.handleLinkLost(peer);
    });
  }

  private switchTo(end: MemberId, peer: MemberId, link: number): void {
    const known = this.sendingLinks.get(directionOf(end, peer)) ?? 0;
    this.sendingLinks.set(directionOf(end, peer), Math.max(known, link));
  }

  /** An end ignores messages of a link that it has reported as lost. */
  private deliver(
    from: MemberId,
    to: MemberId,
    link: number,
    message: Message,
    delayMs: number,
  ): void {
    const direction = `${directionOf(from, to)} ${link}`;
    const earliest = this.latestArrivals.get(direction) ?? 0;
    const at = Math.max(earliest, this.schedule.now + delayMs);
    this.latestArrivals.set(direction, at);
    this.schedule.after(at - this.schedule.now, () => {
      if (link < (this.oldestReadLinks.get(directionOf(to, from)) ?? 0)) return;
      this.switchTo(to, from, link);
      this.endpoints.get(to)!.receive(from, message);
    });
  }
}

function directionOf(from: MemberId, to: MemberId): string {
  return `${from} ${to}`;
}

function pairOf(a: MemberId, b: MemberId): string {
  return a < b ? directionOf(a, b) : directionOf(b, a);
}
