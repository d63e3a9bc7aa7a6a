/**
 * @fileoverview Property test: under random faults of daemons, links and
 * servers each request has one outcome, which agrees with its runs.
 */

import test from 'ava';
import fc from 'fast-check';
import type {RequestId, Slice} from '@jackdawfall/core';
import {DEFAULT_TUNING, NO_COST_CLASS} from '@jackdawfall/core';

import {RequestSimulation} from './simulation.js';
import type {Call} from './simulation.js';
import {DRAIN_MS, SERVICE, SLICES} from './map_copy.js';

const DAEMONS = 4;
const SLOTS = 4;
const LEASE_MS = 1500;
/** Time from the stop of a daemon to its eviction by the others. */
const EVICTION_MS = 2500;
const TIMEOUT_MS = 4000;
const CALLS = 250;
const CALL_INTERVAL_MS = 25;
const DURATION_MS = CALLS * CALL_INTERVAL_MS + TIMEOUT_MS + 4000;

/**
 * A fault at a time: a cut link, a frozen or crashed daemon, a moved slice, a
 * newly started server (`cold`) or one whose runs don't end (`mute`).
 */
const FAULT = fc.record({
  at: fc.integer({min: 0, max: CALLS * CALL_INTERVAL_MS}),
  kind: fc.constantFrom(
    'cut',
    'cut',
    'freeze',
    'crash',
    'move',
    'cold',
    'mute',
  ),
  /** Index of the daemon. */
  who: fc.integer({min: 0, max: DAEMONS - 1}),
  /** Offset to the index of the other daemon of a cut or move. */
  other: fc.integer({min: 1, max: DAEMONS - 1}),
  /** Duration of a freeze or mute. */
  ms: fc.integer({min: 100, max: 4000}),
});
type Fault = typeof FAULT extends fc.Arbitrary<infer T> ? T : never;

/** A simulation with faults, and the checks of its calls. */
class FaultTrial {
  /** Daemons that were frozen or removed; their callers may wait longer. */
  readonly disturbed = new Set<number>();
  /** Daemons that crash or are frozen for longer than their lease. */
  private readonly removed = new Set<number>();
  private readonly simulation: RequestSimulation;

  constructor(seed: number, faults: readonly Fault[]) {
    this.simulation = new RequestSimulation({
      seed,
      daemons: DAEMONS,
      slots: SLOTS,
      linkDelayMs: 1,
      settings: DEFAULT_TUNING,
      maxMapLagMs: 300,
      behaviour: schedule => ({
        serviceMs: () => 2 + schedule.exponential(20),
        maxRuns: () => (schedule.random() < 0.02 ? 0 : SLOTS),
      }),
    });
    const {schedule} = this.simulation;
    for (const fault of faults) {
      schedule.after(fault.at, () => this.inject(fault));
    }
    for (let i = 0; i < CALLS; i++) {
      schedule.after(i * CALL_INTERVAL_MS, () => this.call(i));
    }
    schedule.run(DURATION_MS);
  }

  check(): void {
    for (const call of this.simulation.calls.values()) this.checkCall(call);
    for (const {mostRunning} of this.simulation.servers) {
      if (mostRunning > SLOTS) throw new Error('more runs than slots');
    }
  }

  private call(index: number): void {
    const {schedule} = this.simulation;
    const draw = () => schedule.random();
    const daemon = Math.floor(draw() * DAEMONS);
    if (this.removed.has(daemon)) return;
    const slice = Math.floor(draw() * SLICES) as Slice;
    this.simulation.call(daemon, {
      request: `r${index}` as RequestId,
      service: SERVICE,
      slice: draw() < 0.3 ? null : slice,
      idempotent: draw() < 0.4,
      priority: draw() < 0.2 ? 'deferrable' : 'interactive',
      timeoutMs: TIMEOUT_MS,
      objectiveMs: 0,
      maxAttempts: null,
      idempotencyKey: null,
      tenant: null,
      urgency: 0,
      costClass: NO_COST_CLASS,
    });
  }

  private inject({kind, who, other, ms}: Fault): void {
    const {schedule, network, members, daemons, servers} = this.simulation;
    switch (kind) {
      case 'cut':
        network.cut(members[who], members[(who + other) % DAEMONS]);
        return;
      case 'freeze':
        this.freeze(who, ms);
        return;
      case 'crash':
        this.removeDaemon(who, () => daemons[who].crash());
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
    const {schedule, daemons, maps} = this.simulation;
    const from = schedule.now;
    const until = from + ms;
    this.disturbed.add(who);
    if (ms < LEASE_MS) {
      daemons[who].freeze(ms);
      return;
    }
    maps[who].hasLease = at =>
      at.wall < from + LEASE_MS || at.wall > until + 100;
    this.removeDaemon(who, () => daemons[who].freeze(ms));
  }

  /**
   * Evicts a daemon after it has stopped; at most two, so that others are left
   * to run the requests.
   */
  private removeDaemon(who: number, stop: () => void): void {
    const {schedule, members} = this.simulation;
    if (this.removed.has(who) || this.removed.size >= 2) return;
    this.removed.add(who);
    this.disturbed.add(who);
    stop();
    const member = members[who];
    for (const peer of members) {
      if (peer !== member) this.simulation.network.cut(member, peer);
    }
    schedule.after(EVICTION_MS, () =>
      this.simulation.commit({kind: 'ended', member}),
    );
  }

  private move(slice: number, to: number): void {
    const {schedule, members} = this.simulation;
    this.simulation.commit({kind: 'moving', slice});
    schedule.after(300 + DRAIN_MS + 100, () => {
      this.simulation.commit({kind: 'moved', slice, to: members[to]});
    });
  }

  private checkCall({accepted, daemon, at, outcomes}: Call): void {
    const runs = this.simulation.runsOf(accepted.request);
    const name = `${accepted.request}, ${runs} runs`;
    if (!accepted.idempotent && runs > 1) throw new Error(`run twice: ${name}`);
    if (outcomes.length > 1) throw new Error(`several outcomes: ${name}`);
    const [first] = outcomes;
    if (first === undefined) {
      if (this.disturbed.has(daemon)) return;
      throw new Error(`no outcome: ${name}`);
    }
    if (first.wrongResponse) throw new Error(`response of another: ${name}`);
    if (first.failure === null && runs === 0) {
      throw new Error(`response without a run: ${name}`);
    }
    if (first.failure?.run === 'not-run' && runs > 0) {
      throw new Error(`"not run" (${first.failure.kind}) but ran: ${name}`);
    }
    const {graceMs} = DEFAULT_TUNING.routing;
    const latest =
      at + accepted.timeoutMs + graceMs + 2 * DEFAULT_TUNING.loop.tickMs;
    if (first.at > latest && !this.disturbed.has(daemon)) {
      throw new Error(`late outcome, ${first.at - at} ms: ${name}`);
    }
  }
}

const RUNS = Number(process.env['FAULT_RUNS'] ?? 60);
const SEED = Number(process.env['FAULT_SEED'] ?? 1);

test('each request has one correct outcome under random faults', t => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 2 ** 30}),
      fc.array(FAULT, {maxLength: 12}),
      (seed, faults) => new FaultTrial(seed, faults).check(),
    ),
    {seed: SEED, numRuns: RUNS, includeErrorInReport: true},
  );
  t.pass();
});
