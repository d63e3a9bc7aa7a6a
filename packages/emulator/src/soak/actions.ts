/** @fileoverview Generators of random actions for fast-check. */

import fc from 'fast-check';

import type {Action, Step} from './types.js';

/** Maximum number of hosts in a run. */
export const MAX_HOSTS = 8;

const HOST = fc.nat({max: MAX_HOSTS - 1});
const FAULT_MS = fc.integer({min: 100, max: 6000});
const SHORT_MS = fc.integer({min: 0, max: 700});
const DELAY_MS = fc.integer({min: 10, max: 3000});
const BOOLEAN = fc.boolean();

/** Rates of monotonic clocks, which differ by at most one percent. */
const RATE = fc.integer({min: 990, max: 1010}).map(n => n / 1000);
const JUMP_MS = fc.constantFrom(0, 0, 0, 1000, 5000, -1000, -5000);

const STORE_MODE = fc.oneof(
  fc.constant({kind: 'down'} as const),
  fc.constant({kind: 'silent'} as const),
  fc.record({kind: fc.constant('slow' as const), delayMs: DELAY_MS}),
);

const ACTION: fc.Arbitrary<Action> = fc.oneof(
  {weight: 4, arbitrary: fc.constant<Action>({kind: 'pass'})},
  {weight: 6, arbitrary: of('start', {host: HOST})},
  {weight: 3, arbitrary: of('kill', {host: HOST})},
  {
    weight: 5,
    arbitrary: of('freeze', {host: HOST, ms: FAULT_MS, still: BOOLEAN}),
  },
  {weight: 2, arbitrary: of('twin', {host: HOST, ms: FAULT_MS})},
  {
    weight: 5,
    arbitrary: of('cut', {
      from: HOST,
      to: HOST,
      bothWays: BOOLEAN,
      ms: FAULT_MS,
    }),
  },
  {weight: 3, arbitrary: of('isolate', {host: HOST, ms: FAULT_MS})},
  {
    weight: 3,
    arbitrary: of('slowLinks', {host: HOST, delayMs: DELAY_MS, ms: FAULT_MS}),
  },
  {weight: 4, arbitrary: of('store', {mode: STORE_MODE, ms: FAULT_MS})},
  {weight: 3, arbitrary: of('cutStore', {host: HOST, ms: FAULT_MS})},
  {
    weight: 2,
    arbitrary: of('clock', {host: HOST, rate: RATE, wallJumpMs: JUMP_MS}),
  },
  {weight: 2, arbitrary: of('apply', {host: HOST})},
  {
    weight: 2,
    arbitrary: of('zone', {host: HOST, zone: fc.nat({max: 2}), out: BOOLEAN}),
  },
  {weight: 1, arbitrary: of('stopServer', {host: HOST, target: HOST})},
  {weight: 1, arbitrary: of('stop', {host: HOST})},
  {weight: 2, arbitrary: of('server', {host: HOST, up: BOOLEAN})},
);

/** Age of the copy to which the store is restored. */
const COPY_AGE_MS = fc.integer({min: 0, max: 6000});
const OUTAGE_MS = fc.integer({min: 10, max: 2000});

const RESTORE: fc.Arbitrary<Action> = of('restoreStore', {
  ageMs: COPY_AGE_MS,
  ms: OUTAGE_MS,
});

/** Generates an action, among them restores of the store, and the time after. */
export const STEP_WITH_RESTORES: fc.Arbitrary<Step> = fc.record({
  action: fc.oneof(
    {weight: 12, arbitrary: ACTION},
    {weight: 1, arbitrary: RESTORE},
  ),
  ms: SHORT_MS,
});

/** Generates an action and the time after it. */
export const STEP: fc.Arbitrary<Step> = fc.record({
  action: ACTION,
  ms: SHORT_MS,
});

function of<Kind extends Action['kind']>(
  kind: Kind,
  fields: Record<string, fc.Arbitrary<unknown>>,
): fc.Arbitrary<Action> {
  const record = fc.record({kind: fc.constant(kind), ...fields});
  return record as unknown as fc.Arbitrary<Action>;
}
