/**
 * @fileoverview Routing asks for a permit once for each request of a tenant, and
 * returns it only if the request is known not to have run. A permit returned for
 * a request that ran would be used twice.
 */

import test from 'ava';

import {Origin, TIMEOUT_MS} from '../testing/origin.js';

const TENANT = 'tenant' as never;

function createOrigin(reason: string | null) {
  const calls: string[] = [];
  const origin = new Origin();
  origin.quotas = {
    admit: () => {
      calls.push('admit');
      return reason;
    },
    giveBack: () => calls.push('giveBack'),
  };
  return {origin, calls};
}

test('a request beyond the quota is rejected without an attempt', t => {
  const {origin, calls} = createOrigin('used up');
  const effects = origin.accept({tenant: TENANT});
  t.false(effects.some(({kind}) => kind === 'sendDispatch'));
  const failed = effects.find(({kind}) => kind === 'failRequest');
  t.like(failed, {failure: {kind: 'quota-exceeded', run: 'not-run'}});
  t.deepEqual(calls, ['admit']);
});

test('a request without a tenant needs no permit', t => {
  const {origin, calls} = createOrigin('used up');
  origin.accept();
  t.deepEqual(calls, []);
});

const FAILURES = [
  {name: 'was not run', run: 'not-run', calls: ['admit', 'giveBack']},
  {name: 'may have run', run: 'unknown', calls: ['admit']},
] as const;

for (const {name, run, calls: expected} of FAILURES) {
  test(`the permit of a request that ${name}`, t => {
    const {origin, calls} = createOrigin(null);
    origin.accept({tenant: TENANT});
    origin.failed(1, {error: 'overloaded', run});
    origin.now += TIMEOUT_MS;
    origin.feed({kind: 'ticked'});
    t.deepEqual(calls, expected);
  });
}
