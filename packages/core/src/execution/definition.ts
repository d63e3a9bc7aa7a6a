/**
 * @fileoverview The execution subsystem: runs attempts on the backend server.
 */

import {applyAnnouncement, stopAdmission} from '../admission/logic.js';
import {createServerCosts} from '../costs/logic.js';
import type {MemberId} from '../ids/types.js';
import type {Subsystem} from '../loop/subsystem.js';
import type {Announcement, Effect, Event} from '../loop/types.js';
import type {Message} from '../messages/types.js';
import type {OwnershipView} from '../ownership/types.js';
import {handleCancel, handleDispatch, handleInquiry} from './incoming.js';
import {checkJobs, detectStall, startTimerForQueue} from './monitor.js';
import {
  handleRunEnded,
  handleRunFailed,
  handleRunHeadReceived,
  handleRunWriteStarting,
  processQueue,
} from './runs.js';
import type {ExecutionContext} from './state.js';
import type {ExecutionState} from './types.js';
import {renderExecution} from './view.js';

/** The subsystem that runs attempts at the daemon that executes them. */
export const EXECUTION: Subsystem<
  ExecutionState,
  {readonly ownership: OwnershipView}
> = {
  name: 'execution',
  reduce(state, input, {ownership}) {
    const effects: Effect[] = [];
    const now = input.at.monotonic;
    state.byCost = ownership.workspace?.scheduling === 'cost';
    const context: ExecutionContext = {state, input, now, ownership, effects};
    detectStall(context);
    handleEvent(context, input.event);
    processQueue(context);
    startTimerForQueue(context);
    return effects;
  },
  render: renderExecution,
};

function handleEvent(context: ExecutionContext, event: Event): void {
  const {state} = context;
  switch (event.kind) {
    case 'messageReceived':
      handleMessage(context, event.from, event.message);
      return;
    case 'ticked':
      if (state.stopping && context.now >= state.stopAt) {
        recordLeaving(context);
      }
      checkJobs(context);
      return;
    case 'timerFired':
      if (context.now >= state.runtimeTimerAt) state.runtimeTimerAt = Infinity;
      return;
    case 'announcementReceived':
      handleAnnouncement(context, event.announcement);
      return;
    case 'announcementExpired':
      if (state.server?.instance === event.instance) clearServer(state);
      return;
    case 'stopRequested':
      state.stopping = true;
      state.stopAt = context.now + state.tuning.membership.stopServeMs;
      state.stopEndsAt = context.now + state.tuning.membership.stopMs;
      if (context.now >= state.stopAt) recordLeaving(context);
      return;
    case 'runWriteStarting':
    case 'runHeadReceived':
    case 'runEnded':
    case 'runFailed':
      handleRunEvent(context, event);
      return;
    case 'linkOpened':
    case 'linkLost':
    case 'dispatchNotSent':
    case 'storeReplied':
    case 'requestAccepted':
    case 'callerDisconnected':
    case 'responseDelivered':
    case 'configurationRead':
    case 'sourcePolled':
    case 'slicesGranted':
    case 'sliceGrantFailed':
    case 'slicesReleased':
    case 'commandReceived':
      return;
  }
}

type RunEvent = Extract<
  Event,
  {kind: 'runWriteStarting' | 'runHeadReceived' | 'runEnded' | 'runFailed'}
>;

function handleRunEvent(context: ExecutionContext, event: RunEvent): void {
  const job = context.state.jobs.get(event.attempt);
  if (job === undefined) return;
  switch (event.kind) {
    case 'runWriteStarting':
      handleRunWriteStarting(context, job);
      return;
    case 'runHeadReceived':
      handleRunHeadReceived(context, job, event);
      return;
    case 'runEnded':
      handleRunEnded(context, job);
      return;
    case 'runFailed':
      handleRunFailed(context, job, event.run, event.detail);
      return;
  }
}

function handleMessage(
  context: ExecutionContext,
  from: MemberId,
  message: Message,
): void {
  if (message.kind === 'dispatch') handleDispatch(context, from, message);
  if (message.kind === 'cancel') handleCancel(context, from, message);
  if (message.kind === 'inquire') handleInquiry(context, from, message);
}

function handleAnnouncement(
  context: ExecutionContext,
  announcement: Announcement,
): void {
  const {state, now, effects} = context;
  state.server = announcement;
  if (state.admission.instance !== announcement.instance) {
    // Another instance may be of another size or version.
    state.costs = createServerCosts();
  }
  const cause = applyAnnouncement(state.admission, announcement, now);
  if (cause !== null) {
    effects.push({kind: 'log', event: 'limitFellBack', fields: {cause}});
  }
  if (announcement.leaving) recordLeaving(context);
  else if (!state.stopping) state.leavingSince = null;
}

/**
 * Records when the backend server or this daemon began to shut down; repeats
 * keep the first time.
 */
function recordLeaving(context: ExecutionContext): void {
  const {state, now, effects} = context;
  if (state.leavingSince !== null) return;
  state.leavingSince = now;
  effects.push({kind: 'log', event: 'serverLeaving', fields: {}});
}

/** Closes admission; the backend server no longer announces itself. */
function clearServer(state: ExecutionState): void {
  state.server = null;
  stopAdmission(state.admission);
}
