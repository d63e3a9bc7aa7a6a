/** @fileoverview Random faults against both ends of requests. */

import test from 'ava';
import fc from 'fast-check';
import type {RequestId, Slice} from '@jackdawfall/core';
import {DEFAULT_TUNING} from '@jackdawfall/core';

import {Cluster} from './cluster.js';
import type {Call} from './cluster.js';
import {DRAIN_MS, SERVICE, SLICES} from './map_copy.js';

const DAEMONS = 4;
const SLOTS = 4;
const LEASE_MS = 1500;
const END_MS = 2500;
const TIMEOUT_MS = 4000;
const CALLS = 250;
const CALL_EVERY_MS = 25;
const LAST_MS = CALLS * CALL_EVERY_MS + TIMEOUT_MS + 4000;

const FAULT = fc.record({
  at: fc.integer({min: 0, max: CALLS * CALL_EVERY_MS}),
  kind: fc.constantFrom(
    'cut',
    'cut',
    'freeze',
    'crash',
    'move',
    'cold',
    'mute',
  ),
  who: fc.integer({min: 0, max: DAEMONS - 1}),
  other: fc.integer({min: 1, max: DAEMONS - 1}),
  ms: fc.integer({min: 100, max: 4000}),
});
type Fault = typeof FAULT extends fc.Arbitrary<infer T> ? T : never;

class Trial {
  readonly disturbed = new Set<number>();
  private readonly gone = new Set<number>();
  private readonly cluster: Cluster;

  constructor(seed: number, faults: readonly Fault[]) {
    this.cluster = new Cluster({
      seed,
      daemons: DAEMONS,
      slots: SLOTS,
      linkDelayMs: 1,
      settings: DEFAULT_TUNING,
      lagMs: 300,
      behaviour: schedule => ({
        serviceMs: () => 2 + schedule.exponential(20),
        bears: () => (schedule.random() < 0.02 ? 0 : SLOTS),
      }),
    });
    const {schedule} = this.cluster;
    for (const fault of faults) {
      schedule.after(fault.at, () => this.inflict(fault));
    }
    for (let i = 0; i < CALLS; i++) {
      schedule.after(i * CALL_EVERY_MS, () => this.call(i));
    }
    schedule.run(LAST_MS);
  }

  check(): void {
    for (const call of this.cluster.calls.values()) this.checkCall(call);
    for (const {mostRunning} of this.cluster.servers) {
      if (mostRunning > SLOTS) throw new Error('more runs than slots');
    }
  }

  private call(index: number): void {
    const {schedule} = this.cluster;
    const draw = () => schedule.random();
    const by = Math.floor(draw() * DAEMONS);
    if (this.gone.has(by)) return;
    const slice = Math.floor(draw() * SLICES) as Slice;
    this.cluster.call(by, {
      request: `r${index}` as RequestId,
      service: SERVICE,
      slice: draw() < 0.3 ? null : slice,
      idempotent: draw() < 0.4,
      priority: draw() < 0.2 ? 'deferrable' : 'interactive',
      timeoutMs: TIMEOUT_MS,
      maxAttempts: null,
      idempotencyKey: null,
    });
  }

  private inflict({kind, who, other, ms}: Fault): void {
    const {schedule, network, members, daemons, servers} = this.cluster;
    switch (kind) {
      case 'cut':
        network.cut(members[who], members[(who + other) % DAEMONS]);
        return;
      case 'freeze':
        this.freeze(who, ms);
        return;
      case 'crash':
        this.lose(who, () => daemons[who].crash());
        return;
      case 'move':
        this.move(who % SLICES, (who + other) % DAEMONS);
        return;
      case 'cold':
        daemons[who].announce();
        return;
      case 'mute':
        servers[who].silent = true;
        schedule.after(ms, () => (servers[who].silent = false));
        return;
    }
  }

  private freeze(who: number, ms: number): void {
    const {schedule, daemons, maps} = this.cluster;
    const from = schedule.now;
    const until = from + ms;
    this.disturbed.add(who);
    if (ms < LEASE_MS) {
      daemons[who].freeze(ms);
      return;
    }
    maps[who].hasLease = at =>
      at.wall < from + LEASE_MS || at.wall > until + 100;
    this.lose(who, () => daemons[who].freeze(ms));
  }

  /** At most two are lost, so that someone is left. */
  private lose(who: number, how: () => void): void {
    const {schedule, members} = this.cluster;
    if (this.gone.has(who) || this.gone.size >= 2) return;
    this.gone.add(who);
    this.disturbed.add(who);
    how();
    const member = members[who];
    for (const peer of members) {
      if (peer !== member) this.cluster.network.cut(member, peer);
    }
    schedule.after(END_MS, () => this.cluster.commit({kind: 'ended', member}));
  }

  private move(slice: number, to: number): void {
    const {schedule, members} = this.cluster;
    this.cluster.commit({kind: 'moving', slice});
    schedule.after(300 + DRAIN_MS + 100, () => {
      this.cluster.commit({kind: 'moved', slice, to: members[to]});
    });
  }

  private checkCall({taken, by, at, told}: Call): void {
    const runs = this.cluster.runsOf(taken.request);
    const name = `${taken.request}, ${runs} runs`;
    if (!taken.idempotent && runs > 1) throw new Error(`doubled: ${name}`);
    if (told.length > 1) throw new Error(`told twice: ${name}`);
    const [first] = told;
    if (first === undefined) {
      if (this.disturbed.has(by)) return;
      throw new Error(`never told: ${name}`);
    }
    if (first.wrongAnswer) throw new Error(`answer of another: ${name}`);
    if (first.failure === null && runs === 0) {
      throw new Error(`done without a run: ${name}`);
    }
    if (first.failure?.run === 'not-run' && runs > 0) {
      throw new Error(`"not run" (${first.failure.kind}) but ran: ${name}`);
    }
    const {graceMs} = DEFAULT_TUNING.routing;
    const latest =
      at + taken.timeoutMs + graceMs + 2 * DEFAULT_TUNING.loop.tickMs;
    if (first.at > latest && !this.disturbed.has(by)) {
      throw new Error(`told late, ${first.at - at} ms: ${name}`);
    }
  }
}

const RUNS = Number(process.env['FAULT_RUNS'] ?? 60);
const SEED = Number(process.env['FAULT_SEED'] ?? 1);

test('one true outcome for each request under random faults', t => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 2 ** 30}),
      fc.array(FAULT, {maxLength: 12}),
      (seed, faults) => new Trial(seed, faults).check(),
    ),
    {seed: SEED, numRuns: RUNS, includeErrorInReport: true},
  );
  t.pass();
});
