/** @fileoverview Tests of overload control with callers that return. */

import test from 'ava';

import type {KindResult} from './returns.js';
import {KINDS, runReturns} from './returns.js';

const DURATION_MS = 13_000;
/** A less urgent kind may be served more often by this share. */
const MAX_INVERSION = 0.05;
/** Noise of shares of some thousand calls. */
const NOISE = 0.02;

const CASES = [
  {keyed: true, load: 1.2, maxAttempts: 0.85},
  {keyed: true, load: 1.7, maxAttempts: 0.8},
  {keyed: false, load: 1.2, maxAttempts: 1.05},
  {keyed: false, load: 1.7, maxAttempts: 1.05},
] as const;

// Returns together after 150 ms found no room, and each cost a hop; callers
// that repeat at once displaced those that wait.
for (const {keyed, load, maxAttempts} of CASES) {
  const service = keyed ? 'keyed' : 'shared';
  test(`${service} at ${load} of the capacity: switched off and on`, t => {
    const base = {
      seed: 1,
      keyed,
      load,
      durationMs: DURATION_MS,
      hotShare: 0,
      servers: 6,
    };
    const off = runReturns({...base, scheduling: 'count'});
    const on = runReturns({...base, scheduling: 'cost'});
    t.true(on.attemptsPerCall <= off.attemptsPerCall * maxAttempts);
    t.true(goodShare(on.waiting) >= goodShare(off.waiting) - NOISE);
    const kinds = KINDS.map(({name}) => servedShare(on.kinds.get(name)!));
    kinds.slice(1).forEach((served, at) => {
      t.true(served <= kinds[at] + MAX_INVERSION, `kind ${at + 1}`);
    });
    t.true(on.mostRunning <= off.mostRunning);
  });
}

// A hot slice took the room of its neighbour on the same server.
test('the neighbour of a hot slice is served more often', t => {
  const base = {seed: 1, keyed: true, load: 0.9, durationMs: DURATION_MS};
  const [off, on] = (['count', 'cost'] as const).map(scheduling =>
    runReturns({...base, hotShare: 0.3, servers: 3, scheduling}),
  );
  // With three servers, slices 0 and 3 have the same owner.
  const [before, after] = [off, on].map(each => goodShare(each.slices.get(3)!));
  t.true(after >= before + NOISE, `${before} ${after}`);
});

function goodShare({good, calls}: KindResult): number {
  return good / calls;
}

function servedShare({good, late, calls}: KindResult): number {
  return (good + late) / calls;
}
