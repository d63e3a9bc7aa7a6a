/** @fileoverview Tests of the retry budget. */

import test from 'ava';

import {RetryBudget, capacityPerDaemon} from './logic.js';

const BURSTS = [
  {retryBurst: 20, sharedRetryBurst: 0, daemons: 300, burst: 20},
  {retryBurst: 20, sharedRetryBurst: 30, daemons: 1, burst: 20},
  {retryBurst: 20, sharedRetryBurst: 84, daemons: 60, burst: 1.4},
  {retryBurst: 20, sharedRetryBurst: 84, daemons: 300, burst: 1},
] as const;

for (const {daemons, burst, ...policy} of BURSTS) {
  const {sharedRetryBurst} = policy;
  test(`${daemons} daemons share ${sharedRetryBurst} retries: ${burst} each`, t => {
    t.is(capacityPerDaemon(policy, daemons), burst);
  });
}

test('a smaller burst takes effect on a full budget', t => {
  const budget = new RetryBudget(20);
  budget.deposit(0.1, 2);
  t.is(budget.available, 2);
});
