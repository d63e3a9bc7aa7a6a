/**
 * @fileoverview Quotas in a fleet over fakes. Guards against requests beyond the
 * quota when daemons are partitioned, frozen or restarted, when the divider or
 * the limits change, and against unused quota where demand is.
 */

import test from 'ava';

import type {TenantName} from '../ids/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {QuotaFleet, STEP_MS} from '../testing/quotas.js';
import type {QuotaDaemon} from '../testing/quotas.js';
import type {Tenant} from '../workspace/types.js';
import {maxInWindow} from './limits.js';

const A = 'a' as TenantName;
const WARM_UP_MS = 3000;
/** Time after a fault until the whole rate has to be admitted again. */
const RECOVERY_MS = 18_000;
/** The last part of it, in which the rate is measured. */
const MEASURED_MS = 10_000;

function tenant(ratePerSecond: number, burst: number): Tenant {
  return {name: A, keyDigests: [], urgency: null, ratePerSecond, burst};
}

function boundOf(limits: Tenant): number {
  return maxInWindow(limits, DEFAULT_TUNING.tenants);
}

function pass(fleet: QuotaFleet, ms: number, offer?: () => void): void {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    fleet.step();
    offer?.();
  }
}

/** Each daemon gets requests far beyond the quota. */
function flood(fleet: QuotaFleet): () => void {
  return () => {
    for (const daemon of fleet.daemons) {
      for (let i = 0; i < 3; i++) fleet.offer(daemon, A);
    }
  };
}

/** Poisson arrivals, divided unevenly among daemons that change. */
class Demand {
  owed = 0;
  admitted = 0;
  private level: number;
  private steps = 0;
  private weights: Array<{daemon: QuotaDaemon; weight: number}> = [];

  constructor(
    private readonly fleet: QuotaFleet,
    private readonly limits: Tenant,
    private readonly load: number,
    private readonly daemons: number,
    private readonly moveMs: number,
  ) {
    this.level = limits.burst;
  }

  offer(): void {
    if (this.steps % (this.moveMs / STEP_MS) === 0) this.move();
    this.steps += 1;
    const {ratePerSecond, burst} = this.limits;
    const perStep = (ratePerSecond * STEP_MS) / 1000;
    this.level = Math.min(burst, this.level + perStep);
    for (const {daemon, weight} of this.weights) {
      for (let i = this.draw(perStep * this.load * weight); i > 0; i--) {
        if (this.level >= 1) {
          this.level -= 1;
          this.owed += 1;
        }
        if (this.fleet.offer(daemon, A)) this.admitted += 1;
      }
    }
  }

  private move(): void {
    const all = this.fleet.daemons;
    const drawn = Array.from({length: this.daemons}, () => ({
      daemon: all[Math.floor(this.fleet.random() * all.length)],
      weight: this.fleet.random() ** 2,
    }));
    const sum = drawn.reduce((total, {weight}) => total + weight, 0);
    this.weights = drawn.map(each => ({...each, weight: each.weight / sum}));
  }

  /** Draws a number of arrivals with this mean. */
  private draw(mean: number): number {
    let count = 0;
    let product = this.fleet.random();
    while (product > Math.exp(-mean)) {
      count += 1;
      product *= this.fleet.random();
    }
    return count;
  }
}

const CALM = [
  {name: 'few daemons', load: 0.8, daemons: 8, moveMs: 2000},
  {name: 'one daemon', load: 0.8, daemons: 1, moveMs: 2000},
  {name: 'all daemons', load: 0.8, daemons: 74, moveMs: 2000},
  {name: 'few daemons, beyond the quota', load: 2, daemons: 8, moveMs: 2000},
];

for (const {name, load, daemons, moveMs} of CALM) {
  test(`demand that moves, at ${name}, gets 0.9 of what it is owed`, t => {
    const limits = tenant(180, 180);
    const fleet = new QuotaFleet(74, [limits]);
    pass(fleet, WARM_UP_MS);
    const demand = new Demand(fleet, limits, load, daemons, moveMs);
    pass(fleet, 15_000, () => demand.offer());
    t.true(demand.admitted >= 0.9 * demand.owed, `${demand.admitted}`);
    t.true(fleet.maxInWindow(A) <= boundOf(limits));
  });
}

const FAULTS: ReadonlyArray<{
  name: string;
  /** Whether the flood begins with the fault. */
  startsCalm?: boolean;
  run: (fleet: QuotaFleet, offer: () => void) => void;
}> = [
  {name: 'no fault', run: () => undefined},
  {
    name: 'restarts, the divider among them',
    run(fleet, offer) {
      for (const daemon of [...fleet.daemons].slice(0, 6)) {
        fleet.restart(daemon);
        pass(fleet, 1300, offer);
      }
    },
  },
  {
    name: 'daemons that join',
    run(fleet, offer) {
      for (let i = 0; i < 12; i++) {
        fleet.start();
        pass(fleet, 200, offer);
      }
    },
  },
  {
    name: 'a partition with the divider on the side without the store',
    run(fleet, offer) {
      fleet.daemons.forEach((daemon, i) => {
        daemon.group = i < 8 ? 1 : 0;
        daemon.keepsLease = i % 2 === 0;
      });
      for (let i = 0; i < 5; i++) fleet.start();
      pass(fleet, 9000, offer);
      for (const daemon of fleet.daemons) daemon.group = 0;
    },
  },
  {
    name: 'a partition in which the divider is evicted',
    run(fleet, offer) {
      fleet.daemons.forEach((daemon, i) => {
        daemon.group = i < 8 ? 1 : 0;
        daemon.keepsLease = false;
      });
      pass(fleet, 9000, offer);
      for (const daemon of fleet.daemons) daemon.group = 0;
    },
  },
  {
    name: 'a frozen divider',
    run: (fleet, offer) => freeze(fleet, [0], 1000, offer),
  },
  {
    name: 'a divider that is frozen until it is evicted',
    run: (fleet, offer) => freeze(fleet, [0], 8000, offer),
  },
  {
    name: 'frozen daemons',
    run: (fleet, offer) => freeze(fleet, [3, 4, 5, 6, 7, 8], 4000, offer),
  },
  {
    // By the monotonic clock, their permits are valid after they thaw.
    name: 'daemons frozen with permits for their demand',
    startsCalm: true,
    run(fleet, offer) {
      pass(fleet, 2000, () => {
        if (fleet.now % 50 !== 0) return;
        for (const daemon of fleet.daemons.slice(2, 10)) fleet.offer(daemon, A);
      });
      freeze(fleet, [2, 3, 4, 5, 6, 7, 8, 9], 8000, () => undefined);
      // Before its next tick, a daemon doesn't know that it was evicted.
      for (let i = 0; i < 10; i++) offer();
    },
  },
];

function freeze(
  fleet: QuotaFleet,
  indices: readonly number[],
  ms: number,
  offer: () => void,
): void {
  const frozen = indices.map(index => fleet.daemons[index]);
  for (const daemon of frozen) daemon.frozen = true;
  pass(fleet, ms, offer);
  for (const daemon of frozen) daemon.frozen = false;
  // Requests come before the daemon has handled anything else.
  offer();
}

for (const limits of [tenant(180, 180), tenant(20, 5)]) {
  for (const {name, startsCalm, run} of FAULTS) {
    const {ratePerSecond} = limits;
    test(`${name}: no window exceeds a quota of ${ratePerSecond}`, t => {
      const fleet = new QuotaFleet(16, [limits]);
      // Permits are handed out to all before the first requests.
      pass(fleet, WARM_UP_MS);
      const offer = flood(fleet);
      if (startsCalm !== true) pass(fleet, 2500, offer);
      run(fleet, offer);
      pass(fleet, RECOVERY_MS, offer);
      t.true(fleet.maxInWindow(A) <= boundOf(limits));
      const since = fleet.now - MEASURED_MS;
      const times = fleet.admittedAt.get(A) ?? [];
      const admitted = times.filter(at => at > since).length;
      const owed = (ratePerSecond * MEASURED_MS) / 1000;
      t.true(admitted >= 0.9 * owed, `${admitted} of ${owed}`);
    });
  }
}

test('a lower limit is binding after 2.5 s and one window', t => {
  const fleet = new QuotaFleet(16, [tenant(180, 180)]);
  pass(fleet, WARM_UP_MS, flood(fleet));
  const lower = tenant(20, 10);
  fleet.configure([lower]);
  const changedAt = fleet.now;
  pass(fleet, 15_000, flood(fleet));
  const most = fleet.maxInWindow(A, changedAt + 2500);
  t.true(most <= boundOf(lower));
  t.true(most >= 0.9 * 100);
});

const WITHOUT_LIMITS = [
  {name: 'no tenants', tenants: undefined},
  {name: 'tenants without a limit', tenants: [tenant(0, 0)]},
];

for (const {name, tenants} of WITHOUT_LIMITS) {
  test(`with ${name}, no message is sent and all is admitted`, t => {
    const fleet = new QuotaFleet(4, tenants as Tenant[]);
    let offered = 0;
    pass(fleet, 2000, () => {
      offered += 1;
      fleet.offer(fleet.daemons[1], A);
    });
    t.is(fleet.sent.size, 0);
    t.is(fleet.admittedAt.get(A)?.length, offered);
  });
}
