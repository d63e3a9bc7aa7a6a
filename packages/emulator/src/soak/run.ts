/** @fileoverview One randomised run: steps with faults, then recovery. */

import type {HostName, Rule, Tuning} from '@jackdawfall/core';
import {DEFAULT_TUNING} from '@jackdawfall/core';

import {SimulatedCluster, ZONES} from './cluster.js';
import {makeConfiguration} from './document.js';
import type {SimulatedNode} from './node.js';
import type {Action, Step, Violation} from './types.js';

/** Slices of the keyed service. */
const SLICES = 6;
/** Time to join, and again to get slices. */
const FORM_MS = 2000;
/** Maximum duration of a fault; every freeze has ended after this time. */
const MAX_FAULT_MS = 6000;
/** Time after which every live member must hold a lease from its grantors. */
const RECOVERY_MS = 10_000;

/**
 * The same if the store is restored: nothing is appended for a while, and then a
 * member that was ended meanwhile joins again, each up to twice.
 */
const RECOVERY_AFTER_RESTORE_MS = 40_000;

/** Frequent snapshots and trimming; catching up takes several reads. */
const TUNING: Tuning = {
  ...DEFAULT_TUNING,
  log: {
    ...DEFAULT_TUNING.log,
    keptEntries: 6,
    snapshotEntries: 8,
    batchEntries: 4,
  },
};

/** Settings of one run. */
export interface RunSettings {
  readonly seed: number;
  readonly hosts: number;
  readonly rulesOff: ReadonlySet<Rule>;
  /** Whether the store names its era and may be restored; false if absent. */
  readonly restores?: boolean;
}

/** Result of one run. */
export interface RunResult {
  readonly violation: Violation | null;
  readonly digest: string;
  /** Newest lines of the trace. */
  readonly lines: readonly string[];
}

/**
 * Runs the steps on a new cluster and lets it recover.
 *
 * @param settings - Seed, size and disabled rules.
 * @param steps - The steps.
 * @returns The violation, if any, and a digest of the trace.
 */
export function runSteps(
  settings: RunSettings,
  steps: readonly Step[],
): RunResult {
  const cluster = new SimulatedCluster({
    ...settings,
    slices: SLICES,
    tuning: TUNING,
    lateGrants: true,
  });
  if (settings.restores === true) cluster.store.startEras();
  for (let host = 0; host < settings.hosts; host++) cluster.start(host);
  cluster.advance(FORM_MS);
  applyDocument(cluster, cluster.nodes[0]);
  cluster.advance(FORM_MS);
  for (const step of steps) {
    applyAction(cluster, step.action);
    if (!cluster.advance(step.ms)) break;
  }
  const {restores = false} = settings;
  if (cluster.violation === null) recover(cluster, restores);
  return {
    violation: cluster.violation,
    digest: cluster.digest(),
    lines: cluster.lines,
  };
}

/**
 * Ends all faults, then checks that each live member holds a lease and has the
 * acknowledged configuration. A single live host has no grantors to hold a lease from.
 */
function recover(cluster: SimulatedCluster, restores: boolean): void {
  cluster.heal();
  cluster.advance(MAX_FAULT_MS);
  cluster.advance(restores ? RECOVERY_AFTER_RESTORE_MS : RECOVERY_MS);
  const hosts = new Set(cluster.liveNodes().map(node => node.host));
  if (hosts.size < 2) return;
  for (const node of cluster.liveNodes()) {
    const source = node.leaseSource(cluster.now);
    if (source === 'grantor') continue;
    const detail = `${node.self}: ${source}`;
    cluster.checks.reportViolation(cluster.now, 'leases-recover', detail);
  }
  // A configuration that is kept in the log is lost with the members that have it.
  if (restores) return;
  cluster.checks.checkAcknowledged(cluster.now, cluster.liveNodes());
}

function applyAction(cluster: SimulatedCluster, action: Action): void {
  cluster.trace(JSON.stringify(action));
  switch (action.kind) {
    case 'pass':
      return;
    case 'start':
      if (canStartOn(cluster, action.host)) cluster.start(action.host);
      return;
    case 'store':
      cluster.setStoreMode(action.mode, action.ms);
      return;
    case 'restoreStore':
      cluster.restoreStore(action.ageMs, action.ms);
      return;
    case 'cutStore':
      cluster.cutStore(action.host, action.ms);
      return;
    case 'cut':
      cluster.cut(action.from, action.to, action.ms);
      if (action.bothWays) cluster.cut(action.to, action.from, action.ms);
      return;
    case 'isolate':
      isolate(cluster, action.host, action.ms);
      return;
    case 'slowLinks':
      cluster.slowLinks(action.host, action.delayMs, action.ms);
      return;
    case 'kill':
    case 'freeze':
    case 'twin':
    case 'clock':
    case 'apply':
    case 'zone':
    case 'stopServer':
    case 'stop':
    case 'server': {
      const node = cluster.liveNodeOn(action.host);
      if (node !== null) applyNodeAction(cluster, node, action);
      return;
    }
  }
}

type NodeAction = Extract<
  Action,
  {
    kind:
      | 'kill'
      | 'freeze'
      | 'twin'
      | 'clock'
      | 'apply'
      | 'zone'
      | 'stopServer'
      | 'stop'
      | 'server';
  }
>;

function applyNodeAction(
  cluster: SimulatedCluster,
  node: SimulatedNode,
  action: NodeAction,
): void {
  switch (action.kind) {
    case 'kill':
      cluster.kill(node);
      return;
    case 'freeze':
      cluster.freeze(node, action.ms, action.still);
      return;
    case 'twin':
      cluster.freeze(node, action.ms, true);
      cluster.start(action.host);
      return;
    case 'clock':
      node.setClock(cluster.now, action.rate, action.wallJumpMs);
      return;
    case 'apply':
      applyDocument(cluster, node);
      return;
    case 'zone':
      cluster.command(node, {
        kind: 'zone',
        zone: ZONES[action.zone],
        out: action.out,
        by: 'soak',
      });
      return;
    case 'stopServer':
      cluster.command(node, {
        kind: 'stopServer',
        host: `h${action.target}` as HostName,
        by: 'soak',
      });
      return;
    case 'stop':
      cluster.stop(node);
      return;
    case 'server':
      cluster.setServer(node, action.up);
      return;
  }
}

function applyDocument(cluster: SimulatedCluster, node: SimulatedNode): void {
  const basedOn = node.state.map.configuration?.number ?? 0;
  const document = makeConfiguration(SLICES, basedOn + 1);
  cluster.command(node, {kind: 'apply', basedOn, document, by: 'soak'});
}

/** Returns whether a host belongs to the run and has no live process. */
function canStartOn(cluster: SimulatedCluster, host: number): boolean {
  return host < cluster.settings.hosts && cluster.liveNodeOn(host) === null;
}

function isolate(cluster: SimulatedCluster, host: number, ms: number): void {
  for (let other = 0; other < cluster.settings.hosts; other++) {
    cluster.cut(host, other, ms);
    cluster.cut(other, host, ms);
  }
}
