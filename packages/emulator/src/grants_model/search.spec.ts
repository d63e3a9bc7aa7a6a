/** @fileoverview The exhaustive search for two holders of a slice. */

import test from 'ava';

import {CASES, EXCLUDED} from './cases.js';
import {search} from './search.js';
import {formatFinding} from './view.js';

for (const {name, bounds} of CASES) {
  test(`no two servers hold a slice: ${name}`, t => {
    const {finding} = search(bounds);
    t.is(finding === null ? null : formatFinding(finding, bounds), null);
  });
}

for (const {name, bounds} of EXCLUDED) {
  test(`two servers hold a slice with ${name}`, t => {
    t.not(search(bounds).finding, null);
  });
}
