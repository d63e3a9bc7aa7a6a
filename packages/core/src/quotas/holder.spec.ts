/**
 * @fileoverview A permit is returned only if the divider doesn't count it as
 * used. Otherwise it would be used twice.
 */

import test from 'ava';

import type {TenantName} from '../ids/types.js';
import {giveBackPermit} from './holder.js';
import {createQuotaState, createTenantUsage} from './state.js';

const A = 'a' as TenantName;

const CASES = [
  {name: 'admitted after the last report', at: 150, reported: 4, left: 4},
  {name: 'admitted before the last report', at: 90, reported: 4, left: 5},
  {name: 'of which all are reported', at: 150, reported: 5, left: 5},
];

for (const {name, at, reported, left} of CASES) {
  test(`return of the permit of a request ${name}`, t => {
    const {holder} = createQuotaState();
    const usage = {...createTenantUsage(100), admitted: 5, reported};
    holder.usage.set(A, usage);
    giveBackPermit(holder, A, at);
    t.is(usage.admitted, left);
  });
}
