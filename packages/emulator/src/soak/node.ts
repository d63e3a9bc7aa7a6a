/** @fileoverview One simulated process with its own clocks. */

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
import {OWNERSHIP, createOwnershipView, currentLease} from '@jackdawfall/core';

/** Mean run time, and load of a dispatch that is only counted, in milliseconds. */
const RUN_MS = 20;

/** A run in flight on the backend server of one process. */
interface SimulatedRun {
  readonly service: ServiceName;
  readonly slice: Slice;
  /** Simulated time at which it has ended, in milliseconds. */
  readonly endsAt: number;
}

/** A process: a real reducer, simulated clocks, and events held while frozen. */
export class SimulatedNode {
  readonly ownershipView: OwnershipView;
  /** Simulated time until which the process is frozen. */
  frozenUntil = 0;
  alive = true;
  serverUp = true;
  instance = 1;
  /**
   * Member id under which its links are open. They keep the id of a removed
   * member until the process has joined under the next one.
   */
  linkId: MemberId;
  /** Simulated time at which the newest run on the backend server started. */
  lastWorkAt = 0;
  /** Real time spent in the reducer, in milliseconds. */
  reduceMs = 0;
  private work: SimulatedRun[] = [];
  /** Load of counted dispatches by slice, since the last report. */
  private busyMs = new Map<Slice, number>();
  private heldEvents: Event[] = [];
  private clockSetAt = 0;
  private monotonic: number;
  private clockRate = 1;
  private clockStopped = false;
  private wallOffset: number;

  constructor(
    readonly host: number,
    readonly state: OwnershipState,
    private readonly service: ServiceName,
    now: number,
    wallOffset: number,
  ) {
    this.ownershipView = createOwnershipView(state);
    this.linkId = state.self;
    this.clockSetAt = now;
    this.monotonic = 1000 + host;
    this.wallOffset = wallOffset;
  }

  /**
   * Returns the current member id of the process.
   *
   * @returns The id.
   */
  get self(): MemberId {
    return this.state.self;
  }

  /**
   * Reads the process's clocks.
   *
   * @param now - Simulated time.
   * @returns Both clocks.
   */
  readClocks(now: number): Instant {
    const frozen = this.clockStopped ? Math.min(now, this.frozenUntil) : 0;
    const stoppedMs = Math.max(0, frozen - this.clockSetAt);
    const elapsedMs = Math.max(0, now - this.clockSetAt - stoppedMs);
    return {
      monotonic: this.monotonic + elapsedMs * this.clockRate,
      wall: 1_800_000_000_000 + now + this.wallOffset,
    };
  }

  /**
   * Changes the clocks.
   *
   * @param now - Simulated time.
   * @param rate - Rate of the monotonic clock.
   * @param wallJumpMs - Jump of the wall clock, in milliseconds.
   */
  setClock(now: number, rate: number, wallJumpMs: number): void {
    this.rebaseClock(now);
    this.clockRate = rate;
    if (now >= this.frozenUntil) this.wallOffset += wallJumpMs;
  }

  /**
   * Freezes the process, unless it is frozen already.
   *
   * @param now - Simulated time.
   * @param until - Simulated time at which it resumes.
   * @param still - Whether its monotonic clock stops as well.
   */
  freeze(now: number, until: number, still: boolean): void {
    if (now < this.frozenUntil) return;
    this.rebaseClock(now);
    this.frozenUntil = until;
    this.clockStopped = still;
  }

  /**
   * Handles an event. While the process is frozen, ticks are dropped and other
   * events held back.
   *
   * @param now - Simulated time.
   * @param event - The event.
   * @param random - Uniform in [0, 1).
   * @returns Effects of the reducer.
   */
  handle(now: number, event: Event, random: number): Effect[] {
    if (now < this.frozenUntil) {
      if (event.kind !== 'ticked') this.heldEvents.push(event);
      return [];
    }
    const input = {at: this.readClocks(now), random, event};
    const dependencies = {work: this.workView(now)};
    const startedAt = performance.now();
    const effects = OWNERSHIP.reduce(this.state, input, dependencies);
    this.reduceMs += performance.now() - startedAt;
    if (event.kind === 'ticked') {
      this.linkId = this.ownershipView.self ?? this.linkId;
    }
    return effects;
  }

  /**
   * Removes the events held back while the process was frozen.
   *
   * @returns The events, oldest first.
   */
  takeHeldEvents(): Event[] {
    const {heldEvents} = this;
    this.heldEvents = [];
    return heldEvents;
  }

  /**
   * Records a new run on the backend server.
   *
   * @param now - Simulated time.
   * @param work - The run.
   */
  recordRun(now: number, work: SimulatedRun): void {
    this.lastWorkAt = now;
    this.work.push(work);
  }

  /**
   * Returns whether a run on a slice is in flight.
   *
   * @param now - Simulated time.
   * @param slice - The slice.
   * @returns Whether there is one.
   */
  isRunningOn(now: number, slice: Slice): boolean {
    return this.work.some(each => each.slice === slice && each.endsAt > now);
  }

  /**
   * Creates the announcement of the process's local backend server.
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
   * Returns the source of the process's lease.
   *
   * @param now - Simulated time.
   * @returns The source.
   */
  leaseSource(now: number): LeaseSource {
    return currentLease(this.state, this.readClocks(now)).source;
  }

  private rebaseClock(now: number): void {
    this.monotonic = this.readClocks(now).monotonic;
    this.clockSetAt = now;
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
      takeBusyMs: () => {
        const taken = this.busyMs;
        this.busyMs = new Map();
        return taken;
      },
      meanRunMs: () => RUN_MS,
    };
  }

  /**
   * Counts the load of a dispatch, without running it.
   *
   * @param slice - The slice of the dispatch.
   */
  recordDispatch(slice: Slice): void {
    this.busyMs.set(slice, (this.busyMs.get(slice) ?? 0) + RUN_MS);
  }
}
