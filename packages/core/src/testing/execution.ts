/** @fileoverview One daemon's execution subsystem, for tests. */

import type {AttemptId, MemberId} from '../ids/types.js';
import {NO_COST_CLASS} from '../costs/classes.js';
import {EXECUTION} from '../execution/definition.js';
import {createExecutionState} from '../execution/state.js';
import type {Effect, Event} from '../loop/types.js';
import type {Dispatch, RequestMessage} from '../messages/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {makeAnnouncement} from './announcements.js';
import {stubOwnership, stubView} from './ownership.js';

/** The daemon under test. */
export const SELF = 'h2#1' as MemberId;
/** The daemon that dispatches to it. */
export const ORIGIN = 'h1#1' as MemberId;
/** Duration of a run of `ExecutingDaemon.run`, in milliseconds. */
export const RUN_MS = 6;

/** The execution subsystem of one daemon, with a stub of ownership. */
export class ExecutingDaemon {
  readonly state;
  readonly ownership = stubOwnership(SELF, SELF);
  now = 1000;
  wallAheadMs = 0;

  constructor(checksGrants = false, abortsSilentRuns = true) {
    const execution = {...DEFAULT_TUNING.execution, abortsSilentRuns};
    this.state = createExecutionState({...DEFAULT_TUNING, execution});
    this.announce({checksGrants});
  }

  feed(event: Event): Effect[] {
    const at = {monotonic: this.now, wall: this.now + this.wallAheadMs};
    const input = {at, random: 0.5, event};
    const ownership = stubView(this.ownership);
    return EXECUTION.reduce(this.state, input, {ownership});
  }

  announce(changes: {checksGrants?: boolean; leaving?: boolean} = {}) {
    const announcement = makeAnnouncement('i1', {slots: 2, ...changes});
    return this.feed({kind: 'announcementReceived', announcement});
  }

  receive(message: RequestMessage, from: MemberId = ORIGIN): Effect[] {
    return this.feed({kind: 'messageReceived', from, message});
  }

  dispatch(sequence: number, changes: Partial<Dispatch> = {}): Effect[] {
    return this.receive(makeDispatch(sequence, changes));
  }

  inquire(sequence: number, to: MemberId = SELF): Effect[] {
    return this.receive({kind: 'inquire', attempt: idOf(sequence), to});
  }

  write(sequence: number): Effect[] {
    return this.feed({kind: 'runWriteStarting', attempt: idOf(sequence)});
  }

  head(sequence: number, refused = false): Effect[] {
    const attempt = idOf(sequence);
    return this.feed({kind: 'runHeadReceived', attempt, status: 200, refused});
  }

  ended(sequence: number): Effect[] {
    return this.feed({kind: 'runEnded', attempt: idOf(sequence)});
  }

  failed(sequence: number, run: 'not-run' | 'unknown'): Effect[] {
    const attempt = idOf(sequence);
    return this.feed({kind: 'runFailed', attempt, run, detail: 'reset'});
  }

  run(sequence: number, changes: Partial<Dispatch> = {}): Effect[] {
    this.dispatch(sequence, changes);
    this.write(sequence);
    this.now += RUN_MS;
    return [...this.head(sequence), ...this.ended(sequence)];
  }

  wait(ms: number): Effect[] {
    const effects: Effect[] = [];
    const until = this.now + ms;
    while (this.now < until) {
      this.now = Math.min(until, this.now + DEFAULT_TUNING.loop.tickMs);
      effects.push(...this.feed({kind: 'ticked'}));
    }
    return effects;
  }
}

/**
 * Builds the id of an attempt.
 *
 * @param sequence - Its number at the origin.
 * @returns The id.
 */
export function idOf(sequence: number): AttemptId {
  return `${ORIGIN}/${sequence}` as AttemptId;
}

function makeDispatch(sequence: number, changes: Partial<Dispatch>): Dispatch {
  return {
    kind: 'dispatch',
    attempt: idOf(sequence),
    to: SELF,
    request: `r${sequence}` as never,
    service: 's' as never,
    slice: 3 as never,
    method: 'POST',
    path: '/s/k',
    headers: [],
    idempotent: false,
    priority: 'interactive',
    idempotencyKey: null,
    budgetMs: 5000,
    urgency: 0,
    objectiveMs: 0,
    costClass: NO_COST_CLASS,
    version: 1 as never,
    body: new Uint8Array(),
    bodyEnds: true,
    ...changes,
  };
}

/**
 * Lists short names of the messages to origins and of the effects on runs.
 *
 * @param effects - Effects of one or more inputs.
 * @returns One name for each that is shown.
 */
export function kinds(effects: readonly Effect[]): string[] {
  const shown = ['run', 'cancelRun', 'panic'];
  return effects.flatMap(effect => {
    if (effect.kind === 'send') return kindOf(effect.message as RequestMessage);
    if (effect.kind === 'replayResponse') return [`replay ${effect.original}`];
    return shown.includes(effect.kind) ? [effect.kind] : [];
  });
}

function kindOf(message: RequestMessage): string {
  if (message.kind === 'failed') return `${message.error} ${message.run}`;
  if (message.kind === 'fate') return `fate ${message.state}`;
  return message.kind;
}
