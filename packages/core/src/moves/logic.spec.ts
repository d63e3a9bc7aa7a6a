/** @fileoverview Tests of releasing drained slices. */

import test from 'ava';

import type {Slice} from '../ids/types.js';
import type {OwnershipContext, SliceDrain} from '../ownership/state.js';
import {createOwnershipState} from '../ownership/state.js';
import {mergeTuning} from '../settings/logic.js';
import {fitsIntoRow} from '../testing/fleet.js';
import {FINDER} from '../testing/harness.js';
import {proposeRelease} from './logic.js';

const SLICES = 4096;

const WORK = {
  inFlight: () => 0,
  inFlightTotal: () => 0,
  takeBusyMs: () => new Map(),
  meanRunMs: () => 0,
};

function drainOf(slice: number): SliceDrain {
  return {
    service: FINDER,
    slice: slice as Slice,
    begunAt: 0,
    loggedLate: false,
    releaseRound: 1,
    handover: '5c0e7a21d94b36f8',
  };
}

/** A daemon that has drained the slices of a whole service. */
function createDrainedDaemon(): OwnershipContext {
  const state = createOwnershipState({
    workspace: 'w' as never,
    host: 'a' as never,
    zone: 'z' as never,
    address: '127.0.0.1:1' as never,
    incarnation: '1',
    tuning: mergeTuning({}),
  });
  for (let slice = 0; slice < SLICES; slice++) {
    state.drains.set(`finder/${slice}`, drainOf(slice));
  }
  const at = {monotonic: 1000, wall: 1000};
  return {state, at, effects: [], work: WORK, random: () => 0.5};
}

test('slices that do not fit into a row are released by several entries', t => {
  const context = createDrainedDaemon();
  const released = new Set<Slice>();
  for (let entries = 0; released.size < SLICES; entries++) {
    t.true(entries < SLICES);
    const proposal = proposeRelease(context);
    if (proposal?.change.kind !== 'released') return t.fail();
    t.true(fitsIntoRow(proposal.change));
    for (const slice of proposal.change.slices) {
      released.add(slice);
      context.state.drains.delete(`finder/${slice}`);
    }
  }
});
