/**
 * @fileoverview The main loop of the process. It passes events to the reducer
 * one at a time and performs the resulting effects in order.
 */

import type {Effect, Event, Input, Instant} from '@jackdawfall/core';
import type {Observable} from 'rxjs';
import {
  Subject,
  fromEvent,
  interval,
  map,
  observeOn,
  queueScheduler,
  takeUntil,
} from 'rxjs';

/** Sources of time and randomness; replaceable, since the reducer is pure. */
export interface ClockAndRandom {
  readonly now: () => Instant;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Reads the monotonic and the wall clock of this host.
 *
 * @returns The current time by both clocks, in milliseconds.
 */
export function readClocks(): Instant {
  return {monotonic: performance.now(), wall: Date.now()};
}

/**
 * Runs a reducer on a queue of events. An event emitted while another is being
 * handled waits until that event and its effects are done.
 */
export class ReducerLoop {
  private readonly events = new Subject<Event>();

  /**
   * @param reduce - The reducer, which keeps its own state.
   * @param performEffect - Performs one effect.
   * @param sources - Sources of time and randomness.
   * @param signal - Stops the loop.
   */
  constructor(
    private readonly reduce: (input: Input) => Effect[],
    private readonly performEffect: (effect: Effect) => void,
    private readonly sources: ClockAndRandom,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Starts the loop.
   *
   * @param tickMs - Interval of `ticked` events, in milliseconds.
   */
  start(tickMs: number): void {
    const ended = fromEvent(this.signal, 'abort');
    this.inputs()
      .pipe(takeUntil(ended))
      .subscribe(input => this.handle(input));
    interval(tickMs)
      .pipe(takeUntil(ended))
      .subscribe(() => this.emit({kind: 'ticked'}));
  }

  /**
   * Queues an event.
   *
   * @param event - The event.
   */
  emit(event: Event): void {
    this.events.next(event);
  }

  private inputs(): Observable<Input> {
    return this.events.pipe(
      observeOn(queueScheduler),
      map(event => ({
        at: this.sources.now(),
        random: this.sources.random(),
        event,
      })),
    );
  }

  private handle(input: Input): void {
    for (const effect of this.reduce(input)) this.performEffect(effect);
  }
}
