/**
 * @fileoverview Attempts whose link was lost: their fate is asked over a new
 * link, until it is known, the peer has ended, or no time is left.
 */

import type {MemberId} from '../ids/types.js';
import type {RequestMessage} from '../messages/types.js';
import {failAttempt} from './failures.js';
import type {RoutingContext} from './state.js';
import {drawRandom, penalizeServer} from './state.js';
import type {Attempt} from './types.js';

/**
 * Takes in that the link to a peer is gone.
 *
 * @param turn - The turn.
 * @param peer - The peer.
 */
export function handleLinkLost(turn: RoutingContext, peer: MemberId): void {
  const {state, effects} = turn;
  const outstanding = state.selection.servers.get(peer)?.outstanding;
  if (outstanding === undefined) return;
  penalizeServer(turn, peer);
  for (const id of [...outstanding.keys()]) {
    const attempt = state.attempts.get(id);
    if (attempt === undefined || attempt.progress === 'whole') continue;
    if (attempt.inquiring) {
      askLater(turn, attempt);
      continue;
    }
    attempt.inquiring = true;
    const fields = {attempt: id};
    effects.push({kind: 'log', event: 'attemptInquired', fields});
    inquire(turn, attempt);
  }
}

/**
 * Asks again about an attempt whose fate is still open.
 *
 * @param turn - The turn.
 * @param attempt - The attempt.
 */
export function checkInquiry(turn: RoutingContext, attempt: Attempt): void {
  if (!attempt.inquiring) return;
  if (turn.ownership.isEnded(attempt.to)) {
    loseAttempt(turn, attempt, 'the other daemon has ended');
    return;
  }
  if (turn.now >= attempt.nextInquiryAt) inquire(turn, attempt);
}

/**
 * Takes in what became of an attempt.
 *
 * @param turn - The turn.
 * @param attempt - The attempt.
 * @param fate - Its fate.
 */
export function handleFate(
  turn: RoutingContext,
  attempt: Attempt,
  fate: Extract<RequestMessage, {kind: 'fate'}>['state'],
): void {
  attempt.inquiring = false;
  attempt.nextInquiryAt = Infinity;
  switch (fate) {
    case 'never':
      failAttempt(turn, attempt, 'held', 'link-lost', 'it was never started');
      return;
    case 'forgotten':
      loseAttempt(turn, attempt, 'its outcome is not known any more');
      return;
    case 'running':
    case 'kept':
      return;
  }
}

function loseAttempt(
  turn: RoutingContext,
  attempt: Attempt,
  detail: string,
): void {
  const at = attempt.progress === 'sent' ? 'sent' : 'relayed';
  failAttempt(turn, attempt, at, 'link-lost', detail);
}

function inquire(turn: RoutingContext, attempt: Attempt): void {
  const {id, to, address} = attempt;
  askLater(turn, attempt);
  const message = {kind: 'inquire', attempt: id, to} as const;
  turn.effects.push({kind: 'send', to, address, message});
}

function askLater(turn: RoutingContext, attempt: Attempt): void {
  const {inquireMs} = turn.state.settings.routing;
  attempt.nextInquiryAt = turn.now + inquireMs * (0.5 + drawRandom(turn));
}
