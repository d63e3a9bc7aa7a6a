/**
 * @fileoverview Tests of configurations that are read from a restored source.
 */

import test from 'ava';

import {makeConfigurationNumber} from '../restore/era.js';
import {withoutRegress} from './logic.js';

const OWN = configuration(1, true, 30, 5, ['b']);

function configuration(
  era: number,
  settled: boolean,
  version: number,
  operatorVersion: number,
  zones: readonly string[],
) {
  const parts = {era, settled, version, merged: false};
  return {
    number: makeConfigurationNumber(parts),
    document: JSON.stringify({version: operatorVersion}),
    zonesOut: zones as never,
  };
}

/** Each case guards against giving up what was acknowledged before a restore. */
const CASES = [
  {
    name: 'an older document is not adopted',
    read: configuration(2, false, 20, 4, ['b']),
    kept: {version: 5, zones: ['b'], merged: true},
  },
  {
    name: 'an absent evacuation stays while the operator may write it again',
    read: configuration(2, false, 20, 5, ['a']),
    kept: {version: 5, zones: ['a', 'b'], merged: true},
  },
  {
    name: 'an evacuation ends once its row is absent from rewritten rows',
    read: configuration(2, true, 40, 5, []),
    kept: {version: 5, zones: [], merged: false},
  },
  {
    name: 'an older document is not adopted from rewritten rows either',
    read: configuration(2, true, 40, 4, []),
    kept: {version: 5, zones: [], merged: true},
  },
  {
    name: 'a newer document is adopted',
    read: configuration(2, false, 20, 6, ['b']),
    kept: {version: 6, zones: ['b'], merged: false},
  },
  {
    name: 'a source without an era is followed as it is',
    read: configuration(0, true, 40, 4, []),
    kept: {version: 4, zones: [], merged: false},
  },
] as const;

for (const {name, read, kept} of CASES) {
  test(name, t => {
    const result = withoutRegress(OWN, read);
    t.deepEqual(JSON.parse(result.document), {version: kept.version});
    t.deepEqual(result.zonesOut, kept.zones as never);
    t.is(result.number, read.number + Number(kept.merged));
  });
}

test('numbers rise with era, settled and version, below 2^52', t => {
  const numbers = [
    configuration(0, true, 2 ** 40 - 1, 1, []),
    configuration(1, false, 2 ** 40 - 1, 1, []),
    configuration(1, true, 0, 1, []),
    configuration(2, false, 7, 1, []),
    configuration(1023, true, 2 ** 40 - 1, 1, []),
  ].map(each => each.number);
  t.deepEqual(
    numbers,
    [...numbers].sort((a, b) => a - b),
  );
  t.true((numbers.at(-1) ?? Infinity) < 2 ** 52);
});
