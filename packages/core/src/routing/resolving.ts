/**
 * @fileoverview Attempts whose link was lost: their fate is asked over a new
 * link, until it is known, the peer has ended, or no time is left.
 */

import type {MemberId} from '../ids/types.js';
import type {RequestMessage} from '../messages/types.js';
import {endAttempt} from './faults.js';
import type {Turn} from './state.js';
import {draw, passOver} from './state.js';
import type {Attempt} from './types.js';

/**
 * Takes in that the link to a peer is gone.
 *
 * @param turn - The turn.
 * @param peer - The peer.
 */
export function takeLinkLoss(turn: Turn, peer: MemberId): void {
  const {state, effects} = turn;
  const outstanding = state.choice.servers.get(peer)?.outstanding;
  if (outstanding === undefined) return;
  passOver(turn, peer);
  for (const id of [...outstanding.keys()]) {
    const attempt = state.attempts.get(id);
    if (attempt === undefined || attempt.progress === 'whole') continue;
    if (attempt.resolving) {
      askLater(turn, attempt);
      continue;
    }
    attempt.resolving = true;
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
export function resolve(turn: Turn, attempt: Attempt): void {
  if (!attempt.resolving) return;
  if (turn.ownership.isEnded(attempt.to)) {
    loseAttempt(turn, attempt, 'the other daemon has ended');
    return;
  }
  if (turn.now >= attempt.inquireAt) inquire(turn, attempt);
}

/**
 * Takes in what became of an attempt.
 *
 * @param turn - The turn.
 * @param attempt - The attempt.
 * @param fate - Its fate.
 */
export function takeFate(
  turn: Turn,
  attempt: Attempt,
  fate: Extract<RequestMessage, {kind: 'fate'}>['state'],
): void {
  attempt.resolving = false;
  attempt.inquireAt = Infinity;
  switch (fate) {
    case 'never':
      endAttempt(turn, attempt, 'held', 'link-lost', 'it was never started');
      return;
    case 'forgotten':
      loseAttempt(turn, attempt, 'its outcome is not known any more');
      return;
    case 'running':
    case 'kept':
      return;
  }
}

function loseAttempt(turn: Turn, attempt: Attempt, detail: string): void {
  const at = attempt.progress === 'sent' ? 'sent' : 'relayed';
  endAttempt(turn, attempt, at, 'link-lost', detail);
}

function inquire(turn: Turn, attempt: Attempt): void {
  const {id, to, address} = attempt;
  askLater(turn, attempt);
  const message = {kind: 'inquire', attempt: id, to} as const;
  turn.effects.push({kind: 'send', to, address, message});
}

function askLater(turn: Turn, attempt: Attempt): void {
  const {inquireMs} = turn.state.settings.routing;
  attempt.inquireAt = turn.now + inquireMs * (0.5 + draw(turn));
}
