/** @fileoverview Links between daemons in virtual time, with faults. */

import type {MemberId, Message} from '@jackdawfall/core';

import type {Schedule} from './schedule.js';

/** Time after which both ends have noticed a link that went silent. */
const SILENCE_MS = 1000;
/** Longest delay of a message that a lost link delivers late. */
const LATE_MS = 3000;

/** What a daemon hears from its links. */
export interface Endpoint {
  /** True while the process is there; a frozen one is. */
  readonly present: boolean;
  hear(from: MemberId, message: Message): void;
  lost(peer: MemberId): void;
  unsent(message: Message): void;
}

/** All links. A cut is noticed by each end at its own time. */
export class Network {
  private readonly endpoints = new Map<MemberId, Endpoint>();
  /** Number of the link an end sends on, for each direction. */
  private readonly using = new Map<string, number>();
  /** Number of the oldest link an end still reads, for each direction. */
  private readonly reading = new Map<string, number>();
  /** Links that carry nothing any more, by pair. */
  private readonly cutBelow = new Map<string, number>();
  private readonly latest = new Map<string, number>();

  /**
   * @param schedule - Virtual time.
   * @param delayMs - Time a message takes.
   */
  constructor(
    private readonly schedule: Schedule,
    private readonly delayMs: number,
  ) {}

  /**
   * Adds a daemon.
   *
   * @param member - Its id.
   * @param endpoint - What hears for it.
   */
  add(member: MemberId, endpoint: Endpoint): void {
    this.endpoints.set(member, endpoint);
  }

  /**
   * Sends a message.
   *
   * @param from - The sender.
   * @param to - The receiver.
   * @param message - The message.
   */
  send(from: MemberId, to: MemberId, message: Message): void {
    const sender = this.endpoints.get(from)!;
    const receiver = this.endpoints.get(to)!;
    if (from === to) {
      this.schedule.after(0, () => receiver.hear(from, message));
      return;
    }
    if (!receiver.present) {
      this.schedule.after(this.delayMs, () => {
        if (message.kind === 'dispatch') sender.unsent(message);
        sender.lost(to);
      });
      return;
    }
    const link = this.using.get(way(from, to)) ?? 0;
    if (link >= (this.cutBelow.get(pair(from, to)) ?? 0)) {
      this.carry(from, to, link, message, this.delayMs);
    } else if (this.schedule.random() < 0.5) {
      const lateMs = this.schedule.random() * LATE_MS;
      this.carry(from, to, link, message, lateMs);
    }
  }

  /**
   * Makes the link between two daemons go silent.
   *
   * @param a - One end.
   * @param b - The other end.
   */
  cut(a: MemberId, b: MemberId): void {
    const most = Math.max(
      this.using.get(way(a, b)) ?? 0,
      this.using.get(way(b, a)) ?? 0,
    );
    this.cutBelow.set(pair(a, b), most + 1);
    this.notice(a, b, most + 1);
    this.notice(b, a, most + 1);
  }

  private notice(end: MemberId, peer: MemberId, next: number): void {
    const wait = this.schedule.random() * SILENCE_MS;
    this.schedule.after(wait, () => {
      const known = this.reading.get(way(end, peer)) ?? 0;
      if (known >= next) return;
      this.reading.set(way(end, peer), next);
      this.use(end, peer, next);
      this.endpoints.get(end)!.lost(peer);
    });
  }

  private use(end: MemberId, peer: MemberId, link: number): void {
    const known = this.using.get(way(end, peer)) ?? 0;
    this.using.set(way(end, peer), Math.max(known, link));
  }

  /** An end reads nothing more from a link that it has reported as lost. */
  private carry(
    from: MemberId,
    to: MemberId,
    link: number,
    message: Message,
    delayMs: number,
  ): void {
    const direction = `${way(from, to)} ${link}`;
    const earliest = this.latest.get(direction) ?? 0;
    const at = Math.max(earliest, this.schedule.now + delayMs);
    this.latest.set(direction, at);
    this.schedule.after(at - this.schedule.now, () => {
      if (link < (this.reading.get(way(to, from)) ?? 0)) return;
      this.use(to, from, link);
      this.endpoints.get(to)!.hear(from, message);
    });
  }
}

function way(from: MemberId, to: MemberId): string {
  return `${from} ${to}`;
}

function pair(a: MemberId, b: MemberId): string {
  return a < b ? way(a, b) : way(b, a);
}
