/**
 * @fileoverview Attempts whose link was lost. Whether the peer received them is
 * unknown then, so the origin asks over a new link what became of them
 * (inquiry), until the peer reports it, the peer is removed from the workspace,
 * or the request's time is over.
 */

import type {MemberId} from '../ids/types.js';
import type {RequestMessage} from '../messages/types.js';
import {failAttempt} from './failures.js';
import type {RoutingContext} from './state.js';
import {drawRandom, penalizeServer} from './state.js';
import type {Attempt} from './types.js';

/**
 * Starts an inquiry for every open attempt at a peer whose link was lost.
 *
 * @param context - Context of the current input.
 * @param peer - The peer.
 */
export function handleLinkLost(context: RoutingContext, peer: MemberId): void {
  const {state, effects} = context;
  const outstanding = state.selection.servers.get(peer)?.outstanding;
  if (outstanding === undefined) return;
  penalizeServer(context, peer);
  for (const id of [...outstanding.keys()]) {
    const attempt = state.attempts.get(id);
    if (attempt === undefined || attempt.progress === 'complete') continue;
    attempt.interrupted = true;
    if (attempt.inquiring) {
      scheduleInquiry(context, attempt);
      continue;
    }
    attempt.inquiring = true;
    const fields = {attempt: id};
    effects.push({kind: 'log', event: 'attemptInquired', fields});
    inquire(context, attempt);
  }
}

/**
 * Repeats an inquiry that is due, or fails the attempt if its peer was removed
 * from the workspace, though its process may still run.
 *
 * @param context - Context of the current input.
 * @param attempt - The attempt.
 */
export function checkInquiry(context: RoutingContext, attempt: Attempt): void {
  if (!attempt.inquiring) return;
  if (context.ownership.isEnded(attempt.to)) {
    failWithUnknownFate(context, attempt, 'the other daemon has ended');
    return;
  }
  if (context.now >= attempt.nextInquiryAt) inquire(context, attempt);
}

/**
 * Handles the reply to an inquiry. An attempt that runs, or whose response is
 * kept, stays open: the peer sends the response over the new link.
 *
 * @param context - Context of the current input.
 * @param attempt - The attempt.
 * @param fate - What became of it, as the peer reports.
 */
export function handleFate(
  context: RoutingContext,
  attempt: Attempt,
  fate: Extract<RequestMessage, {kind: 'fate'}>['state'],
): void {
  attempt.inquiring = false;
  attempt.nextInquiryAt = Infinity;
  switch (fate) {
    case 'never':
      failAttempt(
        context,
        attempt,
        'held',
        'link-lost',
        'it was never started',
      );
      return;
    case 'forgotten':
      failWithUnknownFate(
        context,
        attempt,
        'its outcome is not known any more',
      );
      return;
    case 'running':
    case 'kept':
      return;
  }
}

/** Fails an attempt of which it is unknown whether it ran. */
function failWithUnknownFate(
  context: RoutingContext,
  attempt: Attempt,
  detail: string,
): void {
  const stage = attempt.progress === 'sent' ? 'sent' : 'relayed';
  failAttempt(context, attempt, stage, 'link-lost', detail);
}

function inquire(context: RoutingContext, attempt: Attempt): void {
  const {id, to, address} = attempt;
  scheduleInquiry(context, attempt);
  const message = {kind: 'inquire', attempt: id, to} as const;
  context.effects.push({kind: 'send', to, address, message});
}

/** Sets the time of the next inquiry, with jitter of half an interval. */
function scheduleInquiry(context: RoutingContext, attempt: Attempt): void {
  const {inquireMs} = context.state.tuning.routing;
  attempt.nextInquiryAt = context.now + inquireMs * (0.5 + drawRandom(context));
}
