/** @fileoverview One process of the randomised run with its own clocks. */

import type {
  Announcement,
  Effect,
  Event,
  InstanceId,
  Instant,
  LeaseSource,
  MemberId,
  OwnershipState,
  OwnershipView,
  ServiceName,
  Slice,
} from '@jackdawfall/core';
import {OWNERSHIP, currentLease, createOwnershipView} from '@jackdawfall/core';

/** Work in flight at one node. */
interface Work {
  readonly service: ServiceName;
  readonly slice: Slice;
  /** Global time at which it has ended, in milliseconds. */
  readonly endsAt: number;
}

/** A process: the product's reducer, clocks and a queue while frozen. */
export class SimulatedNode {
  readonly ownershipView: OwnershipView;
  /** Global time until which the process stands still. */
  frozenUntil = 0;
  alive = true;
  serverUp = true;
  instance = 1;
  /** Global time of the newest run on the backend server. */
  lastWorkAt = 0;
  /** Real time spent in the reducer, in milliseconds. */
  reduceMs = 0;
  private work: Work[] = [];
  private waiting: Event[] = [];
  private clockAt = 0;
  private monotonic: number;
  private rate = 1;
  private still = false;
  private wallOffset: number;

  constructor(
    readonly host: number,
    readonly state: OwnershipState,
    private readonly service: ServiceName,
    now: number,
    wallOffset: number,
  ) {
    this.ownershipView = createOwnershipView(state);
    this.clockAt = now;
    this.monotonic = 1000 + host;
    this.wallOffset = wallOffset;
  }

  /**
   * Finds the member that this process is at the moment.
   *
   * @returns Its id.
   */
  get self(): MemberId {
    return this.state.self;
  }

  /**
   * Reads the process's clocks.
   *
   * @param now - Global time.
   * @returns Both clocks.
   */
  readClocks(now: number): Instant {
    const frozen = this.still ? Math.min(now, this.frozenUntil) : 0;
    const stood = Math.max(0, frozen - this.clockAt);
    const ran = Math.max(0, now - this.clockAt - stood);
    return {
      monotonic: this.monotonic + ran * this.rate,
      wall: 1_800_000_000_000 + now + this.wallOffset,
    };
  }

  /**
   * Changes the clocks.
   *
   * @param now - Global time.
   * @param rate - Speed of the monotonic clock.
   * @param wallJumpMs - Jump of the wall clock.
   */
  setClock(now: number, rate: number, wallJumpMs: number): void {
    this.settleClock(now);
    this.rate = rate;
    if (now >= this.frozenUntil) this.wallOffset += wallJumpMs;
  }

  /**
   * Stops the process for a time.
   *
   * @param now - Global time.
   * @param until - Global time at which it goes on.
   * @param still - Whether the monotonic clock stands still, too.
   */
  freeze(now: number, until: number, still: boolean): void {
    if (now < this.frozenUntil) return;
    this.settleClock(now);
    this.frozenUntil = until;
    this.still = still;
  }

  /**
   * Lets an event happen, or keeps it while the process is frozen.
   *
   * @param now - Global time.
   * @param event - The event.
   * @param random - Uniform in [0, 1).
   * @returns Effects.
   */
  handle(now: number, event: Event, random: number): Effect[] {
    if (now < this.frozenUntil) {
      if (event.kind !== 'ticked') this.waiting.push(event);
      return [];
    }
    const input = {at: this.readClocks(now), random, event};
    const peers = {work: this.workView(now)};
    const begun = performance.now();
    const effects = OWNERSHIP.reduce(this.state, input, peers);
    this.reduceMs += performance.now() - begun;
    return effects;
  }

  /**
   * Takes the events that came while the process was frozen.
   *
   * @returns The events, oldest first.
   */
  takeWaiting(): Event[] {
    const {waiting} = this;
    this.waiting = [];
    return waiting;
  }

  /**
   * Notes a run on the backend server.
   *
   * @param now - Global time.
   * @param work - The run.
   */
  begin(now: number, work: Work): void {
    this.lastWorkAt = now;
    this.work.push(work);
  }

  /**
   * Tells whether a run on a slice has not ended.
   *
   * @param now - Global time.
   * @param slice - The slice.
   * @returns Whether there is one.
   */
  works(now: number, slice: Slice): boolean {
    return this.work.some(each => each.slice === slice && each.endsAt > now);
  }

  /**
   * Builds what the backend server beside the process says of itself.
   *
   * @returns The announcement.
   */
  announcement(): Announcement {
    return {
      instance: `i${this.host}-${this.instance}` as InstanceId,
      service: this.service,
      address: `127.0.0.1:${9000 + this.host}` as Announcement['address'],
      slots: 4,
      connections: 16,
      checksGrants: true,
      leaving: false,
      coldStart: null,
    };
  }

  /**
   * Finds where the process's lease comes from.
   *
   * @param now - Global time.
   * @returns Its source.
   */
  leaseSource(now: number): LeaseSource {
    return currentLease(this.state, this.readClocks(now)).source;
  }

  private settleClock(now: number): void {
    this.monotonic = this.readClocks(now).monotonic;
    this.clockAt = now;
  }

  private workView(now: number): {
    inFlight: (service: ServiceName, slice: Slice) => number;
    inFlightTotal: () => number;
    takeBusyMs: () => Map<Slice, number>;
    meanRunMs: () => number;
  } {
    this.work = this.work.filter(each => each.endsAt > now);
    return {
      inFlight: (service, slice) =>
        this.work.filter(e => e.service === service && e.slice === slice)
          .length,
      inFlightTotal: () => this.work.length,
      takeBusyMs: () => new Map(),
      meanRunMs: () => 0,
    };
  }
}
