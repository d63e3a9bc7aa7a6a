/** @fileoverview The routing of one daemon, fed with events, for tests. */

import type {AttemptId, MemberId} from '../ids/types.js';
import type {Effect, Event, AcceptedRequest} from '../loop/types.js';
import type {RequestMessage} from '../messages/types.js';
import {NO_COST_CLASS} from '../costs/classes.js';
import type {QuotaGate} from '../quotas/types.js';
import {ROUTING} from '../routing/definition.js';
import {createRoutingState} from '../routing/state.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import type {Tuning} from '../settings/defaults.js';
import {stubOwnership, stubView} from './ownership.js';

/** The daemon under test. */
export const SELF = 'h1#1' as MemberId;
/** The daemon that owns the slices of the stub. */
export const OWNER = 'h2#1' as MemberId;
/** Another daemon. */
export const OTHER = 'h3#1' as MemberId;
/** The request that `accept` uses by default. */
export const REQUEST = 'r1' as never;
/** The report of a daemon that doesn't schedule by cost. */
export const NO_WORK = {workMs: 0, expectedMs: 0};
/** Its timeout. */
export const TIMEOUT_MS = 1000;

/** Feeds events to the routing of one daemon and returns the effects. */
export class Origin {
  readonly state;
  readonly ownership = stubOwnership(SELF, OWNER);
  now = 1000;
  /** Admits requests of tenants; by default all. */
  quotas: QuotaGate = {admit: () => null, giveBack: () => undefined};

  constructor(routing: Partial<Tuning['routing']> = {}) {
    const changed = {...DEFAULT_TUNING.routing, ...routing};
    this.state = createRoutingState({...DEFAULT_TUNING, routing: changed});
  }

  feed(event: Event): Effect[] {
    const at = {monotonic: this.now, wall: this.now};
    const input = {at, random: 0.1, event};
    const ownership = stubView(this.ownership);
    const dependencies = {ownership, quotas: this.quotas};
    return ROUTING.reduce(this.state, input, dependencies);
  }

  accept(changes: Partial<AcceptedRequest> = {}): Effect[] {
    const accepted: AcceptedRequest = {
      request: REQUEST,
      service: 's' as never,
      slice: 3 as never,
      idempotent: false,
      priority: 'interactive',
      timeoutMs: TIMEOUT_MS,
      objectiveMs: 0,
      maxAttempts: null,
      idempotencyKey: null,
      tenant: null,
      urgency: 0,
      costClass: NO_COST_CLASS,
      ...changes,
    };
    return this.feed({kind: 'requestAccepted', accepted});
  }

  receive(message: RequestMessage, from: MemberId = OWNER): Effect[] {
    return this.feed({kind: 'messageReceived', from, message});
  }

  head(sequence: number, from: MemberId = OWNER): Effect[] {
    const attempt = idOf(sequence);
    return this.receive(
      {kind: 'head', attempt, status: 200, headers: []},
      from,
    );
  }

  end(sequence: number, from: MemberId = OWNER): Effect[] {
    const attempt = idOf(sequence);
    return this.receive(
      {kind: 'end', attempt, outstanding: 0, ...NO_WORK},
      from,
    );
  }

  failed(
    sequence: number,
    changes: Partial<Extract<RequestMessage, {kind: 'failed'}>> = {},
    from: MemberId = OWNER,
  ): Effect[] {
    const failed = {
      kind: 'failed',
      attempt: idOf(sequence),
      error: 'server-lost',
      run: 'unknown',
      detail: '',
      owner: null,
      version: 1 as never,
      outstanding: 0,
      workMs: 0,
      ...changes,
    } as const;
    return this.receive(failed, from);
  }

  fate(state: 'never' | 'running' | 'kept' | 'forgotten'): Effect[] {
    return this.receive({kind: 'fate', attempt: idOf(1), state});
  }

  loseLink(): Effect[] {
    return this.feed({kind: 'linkLost', peer: OWNER});
  }

  wait(ms: number): Effect[] {
    const effects: Effect[] = [];
    const until = this.now + ms;
    while (this.now < until) {
      this.now = Math.min(until, this.now + DEFAULT_TUNING.loop.tickMs);
      effects.push(...this.feed({kind: 'ticked'}));
      effects.push(...this.feed({kind: 'timerFired'}));
    }
    return effects;
  }
}

/**
 * Returns the id of an attempt.
 *
 * @param sequence - Its number.
 * @returns The id.
 */
export function idOf(sequence: number): AttemptId {
  return `${SELF}/${sequence}` as AttemptId;
}

/**
 * Reduces effects to short texts, in order; log lines and others are left out.
 *
 * @param effects - The effects.
 * @returns The texts.
 */
export function summarize(effects: readonly Effect[]): string[] {
  return effects.flatMap(effect => {
    if (effect.kind === 'sendDispatch') return [`sendDispatch ${effect.to}`];
    if (effect.kind === 'send') return [effect.message.kind];
    if (effect.kind === 'relayResponse' || effect.kind === 'panic') {
      return [effect.kind];
    }
    if (effect.kind !== 'failRequest') return [];
    return [`${effect.failure.kind} ${effect.failure.run}`];
  });
}
