/** @fileoverview Tests of the first placement of a keyed service. */

import test from 'ava';

import type {Slice} from '../ids/types.js';
import {
  BOOKINGS,
  applyChange,
  createFleet,
  fitsIntoRow,
  fleetMember,
  addServer,
  placementOf,
} from '../testing/fleet.js';
import type {ServicePlacement} from '../map/types.js';
import {groupIntoGrants} from '../grants/logic.js';
import {createFormation, hasFormed} from './formation.js';
import {nextPlacement} from './logic.js';

const FORM_MS = 500;

/** Slices, servers, availability zones. */
const FLEETS: ReadonlyArray<readonly [number, number, number]> = [
  [1024, 1, 1],
  [1024, 4, 3],
  [1024, 9, 4],
  [1024, 52, 4],
  [4096, 9, 4],
  [4096, 77, 5],
];
/** Grants per owner that the first placement may need. */
const MAX_GRANTS = 8;

function slicesOf({owner}: ServicePlacement, index: number): Slice[] {
  return [...owner.keys()].filter(slice => owner[slice] === index) as Slice[];
}

for (const [slices, servers, zones] of FLEETS) {
  test(`${slices} slices are spread over ${servers} servers in few grants`, t => {
    const map = createFleet(slices, servers, zones);
    const change = nextPlacement(map);
    if (change === null) return t.fail('nothing was placed');
    applyChange(map, change);
    const placement = placementOf(map);
    const counts = [...Array(servers).keys()].map(index => {
      const owned = slicesOf(placement, index);
      t.true(groupIntoGrants(placement, owned).length <= MAX_GRANTS);
      return owned.length;
    });
    const blockSize = Math.max(1, Math.floor(slices / (servers * 6)));
    t.true(Math.max(...counts) - Math.min(...counts) <= blockSize);
    if (zones < 2) return;
    for (let slice = 0; slice < slices; slice++) {
      const owner = map.membersByIndex[placement.owner[slice]];
      const standby = map.membersByIndex[placement.standby[slice]];
      t.not(standby?.zone, owner?.zone);
    }
  });
}

test('nothing is placed for the first time while the fleet forms', t => {
  const map = createFleet(1024, 1, 1);
  const formation = createFormation();
  t.false(hasFormed(formation, map, 0, FORM_MS));
  t.is(nextPlacement(map, false), null);
  addServer(map, 1, 'zone-0');
  t.false(hasFormed(formation, map, FORM_MS - 1, FORM_MS));
  t.false(hasFormed(formation, map, 2 * FORM_MS - 2, FORM_MS));
  t.true(hasFormed(formation, map, 2 * FORM_MS - 1, FORM_MS));
});

test('a fleet that grows all the time is placed after the longest wait', t => {
  const map = createFleet(1024, 1, 1);
  const formation = createFormation();
  let now = 0;
  for (let index = 1; now < 3 * FORM_MS; index++) {
    t.false(hasFormed(formation, map, now, FORM_MS));
    addServer(map, index, 'zone-0');
    now += FORM_MS / 2;
  }
  t.true(hasFormed(formation, map, now, FORM_MS));
});

test('slices that have lost their owners are placed without a wait', t => {
  const map = createFleet(1024, 2, 2);
  applyChange(map, nextPlacement(map) ?? t.fail());
  const members = [...map.members.keys()];
  applyChange(map, {kind: 'ended', members});
  addServer(map, 5, 'zone-0');
  t.is(nextPlacement(map, false)?.kind, 'placed');
});

const SLICES = 4096;

test('an entry that places slices of alternating owners fits into a row', t => {
  const map = createFleet(SLICES, 6, 3);
  const runs = Array.from({length: SLICES}, (_, slice) => ({
    first: slice as Slice,
    count: 1,
    owner: fleetMember(slice % 6),
    standby: null,
  }));
  applyChange(map, {kind: 'placed', service: BOOKINGS, slices: SLICES, runs});
  let entries = 0;
  for (;;) {
    const change = nextPlacement(map);
    if (change === null) break;
    t.true(fitsIntoRow(change));
    applyChange(map, change);
    entries += 1;
  }
  t.true(entries > 1);
});
