/**
 * @fileoverview The subsystem of quotas. It reports the requests of tenants to
 * the divider, applies the shares that it sends, and divides quotas while this
 * member is the divider. In a workspace without quotas it sends nothing.
 */

import type {MemberId} from '../ids/types.js';
import type {Subsystem} from '../loop/subsystem.js';
import type {Effect, Event, Input} from '../loop/types.js';
import type {ControlMessage, Message} from '../messages/types.js';
import type {Tuning} from '../settings/defaults.js';
import {
  answerReport,
  expirePermits,
  updateAccounts,
  updateRole,
} from './divider.js';
import {
  applyShares,
  countEvenPermits,
  nextReport,
  updateHolder,
} from './holder.js';
import {quotasOf} from './limits.js';
import {SHARE_MS} from './state.js';
import type {QuotaMembership, QuotaState, TenantQuota} from './types.js';
import {renderQuotas} from './view.js';

/** What quotas need from the other subsystems. */
export interface QuotaDependencies {
  readonly membership: QuotaMembership;
  readonly tuning: Pick<Tuning, 'tenants' | 'leases'>;
}

interface QuotaContext extends QuotaDependencies {
  readonly state: QuotaState;
  readonly input: Input;
  readonly effects: Effect[];
}

/** The subsystem of quotas; it precedes routing, which asks it for permits. */
export const QUOTAS: Subsystem<QuotaState, QuotaDependencies> = {
  name: 'quotas',
  reduce(state, input, dependencies) {
    const {membership, tuning} = dependencies;
    if (!isUsed(state, membership)) return [];
    // Without spreading: that takes 3 us for each event.
    const context = {membership, tuning, state, input, effects: []};
    followConfiguration(context);
    handleEvent(context, input.event);
    return context.effects;
  },
  render: renderQuotas,
};

/** Whether there are tenants, or were until now; saves work for each event. */
function isUsed(state: QuotaState, {workspace}: QuotaMembership): boolean {
  if (workspace !== state.workspace) return true;
  if (workspace?.tenants !== undefined) return true;
  return state.quotas.size > 0 || state.divider.accounts.size > 0;
}

function handleEvent(context: QuotaContext, event: Event): void {
  switch (event.kind) {
    case 'messageReceived':
      handleMessage(context, event.from, event.message);
      return;
    case 'ticked':
      handleTick(context);
      return;
    case 'timerFired':
    case 'linkOpened':
    case 'linkLost':
    case 'dispatchNotSent':
    case 'requestAccepted':
    case 'callerDisconnected':
    case 'responseDelivered':
    case 'storeReplied':
    case 'announcementReceived':
    case 'announcementExpired':
    case 'runWriteStarting':
    case 'runHeadReceived':
    case 'runEnded':
    case 'runFailed':
    case 'configurationRead':
    case 'sourcePolled':
    case 'slicesGranted':
    case 'sliceGrantFailed':
    case 'slicesReleased':
    case 'commandReceived':
    case 'stopRequested':
      return;
  }
}

function handleMessage(
  context: QuotaContext,
  from: MemberId,
  message: Message,
): void {
  if (message.kind === 'quotaDemand') answer(context, from, message);
  if (message.kind === 'quotaShares') receiveShares(context, from, message);
}

/** Takes over the quotas of a new configuration, before anything else. */
function followConfiguration(context: QuotaContext): void {
  const {state, membership, tuning} = context;
  const {workspace} = membership;
  const before = state.quotas;
  if (state.workspace !== workspace) {
    state.workspace = workspace;
    const quotas = quotasOf(workspace, tuning.tenants);
    const byIndex: Array<TenantQuota | undefined> = [];
    for (const quota of quotas) byIndex[quota.index] = quota;
    state.byIndex = byIndex;
    state.quotas = new Map(quotas.map(quota => [quota.tenant, quota]));
    updateAccounts(state);
  }
  updateHolder(state, before, membership);
}

function handleTick(context: QuotaContext): void {
  const {state, input, membership, tuning} = context;
  const now = input.at.monotonic;
  followRole(context);
  if (state.quotas.size === 0 && state.divider.accounts.size === 0) return;
  expirePermits(state, new Set(membership.members), now);
  countEvenPermits(state, membership, now, tuning.tenants);
  if (membership.self === null || state.quotas.size === 0) return;
  const {configuration} = membership;
  const report = nextReport(state, configuration, input.at, input.random);
  const {divider} = state.holder;
  if (report !== null && divider !== null) {
    if (divider === membership.self) answer(context, divider, report);
    else send(context, divider, report);
  }
  followAnswers(context);
}

function followRole(context: QuotaContext): void {
  const {state, input, membership, tuning} = context;
  const {self, members, hasFormerMembers} = membership;
  const role = {
    self,
    ranksFirst: self !== null && members[0] === self,
    hasFormerMembers,
    marginMs: tuning.leases.marginMs,
  };
  const wasDividing = state.divider.self !== null;
  if (!updateRole(state, role, input.at.monotonic)) return;
  if (state.quotas.size === 0) return;
  if (!wasDividing && !role.ranksFirst) return;
  const {readyAt} = state.divider;
  const waitMs = role.ranksFirst ? readyAt - input.at.monotonic : 0;
  const fields = {dividing: role.ranksFirst, waitMs: Math.max(0, waitMs)};
  context.effects.push({kind: 'log', event: 'quotaDividerChanged', fields});
}

/** Answers a report if this daemon divides and its lease is valid. */
function answer(
  context: QuotaContext,
  from: MemberId,
  report: Extract<ControlMessage, {kind: 'quotaDemand'}>,
): void {
  const {state, input, membership, tuning} = context;
  const {self, members, configuration} = membership;
  if (state.divider.self === null || state.divider.self !== self) return;
  if (report.configuration !== configuration) return;
  if (membership.addressOf(from) === null) return;
  if (!membership.holdsLease(input.at)) return;
  const times = {
    marginMs: tuning.leases.marginMs,
    windowMs: tuning.tenants.quotaWindowMs,
  };
  const now = input.at.monotonic;
  const count = members.length;
  const shares = answerReport(state, from, report, now, times, count);
  if (shares === null) return;
  if (from === self) receiveShares(context, from, shares);
  else send(context, from, shares);
}

function receiveShares(
  context: QuotaContext,
  from: MemberId,
  shares: Extract<ControlMessage, {kind: 'quotaShares'}>,
): void {
  const {state, input, membership} = context;
  if (from !== state.holder.divider) return;
  if (shares.configuration !== membership.configuration) return;
  applyShares(state, shares, input.at);
}

/** Logs when the divider stops and starts to answer. */
function followAnswers({state, input, effects}: QuotaContext): void {
  const {holder} = state;
  const {divider} = holder;
  if (divider === null) return;
  const answered =
    holder.answeredAt > 0 && input.at.monotonic - holder.answeredAt < SHARE_MS;
  if (answered === holder.answered) return;
  holder.answered = answered;
  const event = answered ? 'quotaShareReceived' : 'quotaShareExpired';
  effects.push({kind: 'log', event, fields: {divider}});
}

function send(
  {membership, effects}: QuotaContext,
  to: MemberId,
  message: ControlMessage,
): void {
  const address = membership.addressOf(to);
  if (address === null) return;
  effects.push({kind: 'send', to, address, message});
}
