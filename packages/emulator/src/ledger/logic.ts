/** @fileoverview Checks callers' records against records of backend servers. */

import type {Tolerance, Verdict, Violation} from './types.js';
import type {CallRecord} from '../load/types.js';
import type {ServerRecord, Run} from '../server/types.js';

import type {EndedServer} from './holders.js';
import {countHolds, findSharedHolds} from './holders.js';
import {longestUnserved} from '../load/logic.js';

/** A run with its end; without one, it lasts until its server was killed. */
interface RunInterval {
  readonly run: Run;
  readonly endMs: number;
  readonly finished: boolean;
}

/** A backend server that was killed. */
export interface KilledServer extends EndedServer {
  /** Wall clock, in milliseconds. */
  readonly atMs: number;
}

/** Default tolerance: every request must get a response. */
export const STRICT: Tolerance = {hung: false, relapseMs: 500};

/**
 * Checks that callers were told the truth about each request, that no request
 * ran twice unless it is idempotent, and that each slice had one server at a
 * time.
 *
 * @param records - Outcomes of requests at their callers.
 * @param serverRecords - Records of all backend servers.
 * @param killedServers - Servers that were killed.
 * @param tolerance - What is tolerated.
 * @returns Counts and violations.
 */
export function verifyOutcomes(
  records: readonly CallRecord[],
  serverRecords: readonly ServerRecord[],
  killedServers: readonly KilledServer[],
  tolerance: Tolerance = STRICT,
): Verdict {
  const intervals = buildIntervals(serverRecords, killedServers);
  const byRequest = groupBy(intervals, each => each.run.request);
  const violations = [
    ...records.flatMap(each => checkRecord(each, byRequest, tolerance)),
    ...checkRuns(byRequest),
    ...checkOwners(intervals),
    ...checkHolders(serverRecords, killedServers),
    ...checkGenerations(intervals),
    ...checkServers(serverRecords, tolerance),
  ];
  const count = (outcome: CallRecord['outcome']): number =>
    records.filter(record => record.outcome === outcome).length;
  const found = (kind: Violation['kind']): number =>
    violations.filter(violation => violation.kind === kind).length;
  const unserved = longestUnserved(records);
  return {
    requests: records.length,
    done: count('done'),
    notRun: count('not-run'),
    unknown: count('unknown'),
    hung: count('hung'),
    runTwice: found('run-twice'),
    lost: found('lost'),
    overLimit: found('over-limit'),
    holds: countHolds(serverRecords),
    longestUnservedMs: unserved.ms,
    longestUnservedKey: unserved.key,
    violations,
  };
}

function buildIntervals(
  serverRecords: readonly ServerRecord[],
  killedServers: readonly KilledServer[],
): RunInterval[] {
  const ends = new Map<string, {endMs: number; finished: boolean}>();
  for (const record of serverRecords) {
    if (record.kind !== 'ended') continue;
    const name = `${record.host}|${record.request}|${record.attempt}`;
    ends.set(name, {endMs: record.endMs, finished: record.end === 'finished'});
  }
  const holdEnds = collectHoldEnds(serverRecords);
  return serverRecords.flatMap(run => {
    if (run.kind !== 'run') return [];
    const name = `${run.host}|${run.request}|${run.attempt}`;
    const heldUntilMs = holdEnds.get(`${run.instance}|${run.slice}`);
    const endMs = killTimeOf(run, killedServers, heldUntilMs);
    const end = ends.get(name) ?? {endMs, finished: false};
    return [{run, ...end}];
  });
}

/** Collects the latest time until which each instance held each slice. */
function collectHoldEnds(
  serverRecords: readonly ServerRecord[],
): Map<string, number> {
  const ends = new Map<string, number>();
  for (const record of serverRecords) {
    if (record.kind !== 'granted' || record.refused) continue;
    for (const slice of record.slices) {
      const name = `${record.instance}|${slice}`;
      ends.set(name, Math.max(ends.get(name) ?? 0, record.untilMs));
    }
  }
  return ends;
}

/**
 * Returns when the server of a run was killed; now if it was not. A server that
 * had been stopped before ended the run, at the latest, with its hold.
 */
function killTimeOf(
  run: Run,
  killedServers: readonly KilledServer[],
  heldUntilMs = Number.POSITIVE_INFINITY,
): number {
  const later = killedServers.filter(
    killed => killed.host === run.host && killed.atMs >= run.startMs,
  );
  const ends = later.map(({atMs, monotonicMs}) =>
    Math.min(atMs, atMs - monotonicMs + heldUntilMs),
  );
  return Math.min(Date.now(), ...ends);
}

function groupBy<Item>(
  items: readonly Item[],
  nameOf: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const name = nameOf(item);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [item]);
    else group.push(item);
  }
  return groups;
}

function checkRecord(
  record: CallRecord,
  byRequest: ReadonlyMap<string, readonly RunInterval[]>,
  tolerance: Tolerance,
): Violation[] {
  const runs = byRequest.get(record.request) ?? [];
  const who = `${record.request} ${record.route} ${record.key}`;
  switch (record.outcome) {
    case 'done':
      if (runs.some(each => each.finished)) return [];
      return [{kind: 'lost', detail: `${who}: done, but no whole run`}];
    case 'not-run': {
      if (runs.length === 0) return [];
      const detail = `${who}: ran on ${runs[0]?.run.host}: ${record.detail}`;
      return [{kind: 'not-run-but-ran', detail}];
    }
    case 'wrong-answer': {
      const detail = `${who}: ${record.status} ${record.detail}`;
      return [{kind: 'wrong-answer', detail}];
    }
    case 'hung':
      if (tolerance.hung) return [];
      return [{kind: 'hung', detail: `${who}: sent to ${record.target}`}];
    case 'unknown':
      return [];
  }
}

function checkRuns(
  byRequest: ReadonlyMap<string, readonly RunInterval[]>,
): Violation[] {
  return [...byRequest].flatMap(([request, runs]) => {
    if (runs.length < 2 || runs.every(each => each.run.idempotent)) return [];
    const hosts = runs.map(each => each.run.host).join(', ');
    return [{kind: 'run-twice' as const, detail: `${request} on ${hosts}`}];
  });
}

/** Checks that runs on a slice by different servers don't overlap. */
function checkOwners(intervals: readonly RunInterval[]): Violation[] {
  const byKey = groupBy(
    intervals.filter(each => each.run.slice !== null),
    each => `${each.run.service}/${each.run.slice}`,
  );
  return [...byKey].flatMap(([name, runs]) => checkOverlaps(name, runs));
}

function checkOverlaps(
  name: string,
  runs: readonly RunInterval[],
): Violation[] {
  const ordered = [...runs].sort((a, b) => a.run.startMs - b.run.startMs);
  const lastEnd = new Map<string, number>();
  const violations: Violation[] = [];
  for (const {run, endMs} of ordered) {
    for (const [host, otherEnd] of lastEnd) {
      if (host === run.host || otherEnd <= run.startMs) continue;
      const overlapMs = otherEnd - run.startMs;
      const detail = `${name} on ${host} and ${run.host}: ${overlapMs} ms`;
      violations.push({kind: 'two-servers', detail});
    }
    lastEnd.set(run.host, Math.max(lastEnd.get(run.host) ?? 0, endMs));
  }
  return violations;
}

/** Checks that no two servers hold a slice at the same time. */
function checkHolders(
  serverRecords: readonly ServerRecord[],
  killedServers: readonly KilledServer[],
): Violation[] {
  return findSharedHolds(serverRecords, killedServers).map(shared => {
    const {service, slice, fromMs, untilMs, holders} = shared;
    const lastsMs = (untilMs - fromMs).toFixed(1);
    const lines = holders.map(
      ({instance, history}) => `\n    ${instance}: ${history.join('; ')}`,
    );
    const detail = `${service}/${slice} for ${lastsMs} ms${lines.join('')}`;
    return {kind: 'two-holders', detail};
  });
}

/** Checks that no slice returns to an earlier generation. */
function checkGenerations(intervals: readonly RunInterval[]): Violation[] {
  const newest = new Map<string, Run>();
  const violations: Violation[] = [];
  const ordered = [...intervals].sort((a, b) => a.run.startMs - b.run.startMs);
  for (const {run} of ordered) {
    if (run.slice === null || run.generation === null) continue;
    const name = `${run.service}/${run.slice}`;
    const previous = newest.get(name);
    if (previous !== undefined && isReverted(previous, run)) {
      const from = `${previous.generation} on ${previous.host}`;
      const detail = `${name}: ${from}, then ${run.generation} on ${run.host}`;
      violations.push({kind: 'generation-back', detail});
    }
    newest.set(name, run);
  }
  return violations;
}

/** Returns whether the generation is older, or the same on another host. */
function isReverted(previous: Run, run: Run): boolean {
  const before = previous.generation ?? 0;
  const now = run.generation ?? 0;
  return now < before || (now === before && previous.host !== run.host);
}

/**
 * Checks that no server got late requests or requests over its capacity. Those
 * over capacity are tolerated for a time after an unannounced warm-up.
 */
function checkServers(
  serverRecords: readonly ServerRecord[],
  tolerance: Tolerance,
): Violation[] {
  return serverRecords.flatMap((record): Violation[] => {
    if (record.kind === 'lateWork') {
      const detail = `${record.host}: work ${record.afterMs} ms after leaving`;
      return [{kind: 'late-work', detail}];
    }
    if (record.kind !== 'overLimit') return [];
    const isRecent = record.symptomForMs <= tolerance.relapseMs;
    const isTolerated = !record.announced && isRecent;
    if (isTolerated) return [];
    const detail = `${record.host}: ${record.offered} at ${record.bears}`;
    return [{kind: 'over-limit', detail}];
  });
}
