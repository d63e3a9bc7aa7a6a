/**
 * @fileoverview The one loop of the process: events go in one at a time, the
 * reducer answers with effects, and the effects are carried out in order.
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

/** Where time and randomness come from. */
export interface ClockAndRandom {
  readonly now: () => Instant;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Reads both clocks of this host.
 *
 * @returns The present moment in milliseconds.
 */
export function readClocks(): Instant {
  return {monotonic: performance.now(), wall: Date.now()};
}

/**
 * Feeds a reducer from one queue. An event emitted while another is handled
 * waits until that one and its effects are done.
 */
export class ReducerLoop {
  private readonly events = new Subject<Event>();

  /**
   * @param reduce - The reducer; its state is its own.
   * @param perform - Carries out one effect.
   * @param sources - Time and randomness.
   * @param signal - Ends the loop.
   */
  constructor(
    private readonly reduce: (input: Input) => Effect[],
    private readonly perform: (effect: Effect) => void,
    private readonly sources: ClockAndRandom,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Starts handling events.
   *
   * @param tickMs - Time between two `ticked` events.
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
   * @param event - What happened.
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
    for (const effect of this.reduce(input)) this.perform(effect);
  }
}
