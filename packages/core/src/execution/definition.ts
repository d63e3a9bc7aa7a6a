/** @fileoverview Registers the work beside the backend server. */

import {applyAnnouncement, close} from '../admission/logic.js';
import type {MemberId} from '../ids/types.js';
import type {Subsystem} from '../loop/subsystem.js';
import type {Announcement, Effect, Event} from '../loop/types.js';
import type {Message} from '../messages/types.js';
import type {OwnershipView} from '../ownership/types.js';
import {handleCancel, handleDispatch, handleInquiry} from './incoming.js';
import {
  processQueue,
  runEnded,
  runFailed,
  runHead,
  runWritten,
} from './runs.js';
import type {ExecutionContext} from './state.js';
import type {ExecutionState} from './types.js';
import {renderExecution} from './view.js';
import {detectStall, wakeForQueue, checkJobs} from './monitor.js';

/** The owner's side of requests. */
export const EXECUTION: Subsystem<
  ExecutionState,
  {readonly ownership: OwnershipView}
> = {
  name: 'execution',
  reduce(state, input, {ownership}) {
    const effects: Effect[] = [];
    const now = input.at.monotonic;
    const turn: ExecutionContext = {state, input, now, ownership, effects};
    detectStall(turn);
    handle(turn, input.event);
    processQueue(turn);
    wakeForQueue(turn);
    return effects;
  },
  render: renderExecution,
};

function handle(turn: ExecutionContext, event: Event): void {
  const {state} = turn;
  switch (event.kind) {
    case 'received':
      receive(turn, event.from, event.message);
      return;
    case 'ticked':
      if (state.stopping && turn.now >= state.stopAt) leave(turn);
      checkJobs(turn);
      return;
    case 'woken':
      if (turn.now >= state.wakeAt) state.wakeAt = Infinity;
      return;
    case 'announced':
      takeAnnouncement(turn, event.announcement);
      return;
    case 'announcementLapsed':
      if (state.server?.instance === event.instance) loseServer(state);
      return;
    case 'stopRequested':
      state.stopping = true;
      state.stopAt = turn.now + state.settings.membership.stopServeMs;
      if (turn.now >= state.stopAt) leave(turn);
      return;
    case 'runWritten':
    case 'runHead':
    case 'runEnded':
    case 'runFailed':
      progress(turn, event);
      return;
    case 'linkOpened':
    case 'linkLost':
    case 'unsent':
    case 'storeReplied':
    case 'taken':
    case 'hungUp':
    case 'answered':
    case 'configurationRead':
    case 'keysGranted':
    case 'keysReleased':
    case 'commanded':
      return;
  }
}

type RunEvent = Extract<
  Event,
  {kind: 'runWritten' | 'runHead' | 'runEnded' | 'runFailed'}
>;

function progress(turn: ExecutionContext, event: RunEvent): void {
  const job = turn.state.jobs.get(event.attempt);
  if (job === undefined) return;
  switch (event.kind) {
    case 'runWritten':
      runWritten(turn, job);
      return;
    case 'runHead':
      runHead(turn, job, event.shed);
      return;
    case 'runEnded':
      runEnded(turn, job);
      return;
    case 'runFailed':
      runFailed(turn, job, event.run, event.detail);
      return;
  }
}

function receive(
  turn: ExecutionContext,
  from: MemberId,
  message: Message,
): void {
  if (message.kind === 'dispatch') handleDispatch(turn, from, message);
  if (message.kind === 'cancel') handleCancel(turn, from, message);
  if (message.kind === 'inquire') handleInquiry(turn, from, message);
}

function takeAnnouncement(
  turn: ExecutionContext,
  announcement: Announcement,
): void {
  const {state, now, effects} = turn;
  state.server = announcement;
  const cause = applyAnnouncement(state.admission, announcement, now);
  if (cause !== null) {
    effects.push({kind: 'log', event: 'limitFellBack', fields: {cause}});
  }
  if (announcement.leaving) leave(turn);
  else if (!state.stopping) state.leavingSince = null;
}

function leave(turn: ExecutionContext): void {
  const {state, now, effects} = turn;
  if (state.leavingSince !== null) return;
  state.leavingSince = now;
  effects.push({kind: 'log', event: 'serverLeaving', fields: {}});
}

function loseServer(state: ExecutionState): void {
  state.server = null;
  close(state.admission);
}
