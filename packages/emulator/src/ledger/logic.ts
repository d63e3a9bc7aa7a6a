/** @fileoverview Joins callers' records with the notes of backend servers. */

import type {Allowance, Verdict, Violation} from './types.js';
import type {CallRecord} from '../load/types.js';
import type {ServerNote, Run} from '../server/types.js';

import {longestUnserved} from '../load/logic.js';

/** A run with its end; a run without one lasts until its server died. */
interface Interval {
  readonly run: Run;
  readonly endMs: number;
  readonly finished: boolean;
}

/** A backend server that was killed. */
export interface KilledServer {
  readonly host: string;
  /** Wall clock, milliseconds. */
  readonly atMs: number;
}

/** No allowance at all. */
export const STRICT: Allowance = {hung: false, relapseMs: 500};

/**
 * Checks that every request has exactly one truthful outcome.
 *
 * @param records - What callers saw.
 * @param notes - What backend servers noted.
 * @param deaths - Servers that were killed.
 * @param allowance - What this run allows.
 * @returns Counts and violations.
 */
export function verifyOutcomes(
  records: readonly CallRecord[],
  notes: readonly ServerNote[],
  deaths: readonly KilledServer[],
  allowance: Allowance = STRICT,
): Verdict {
  const intervals = intervalsOf(notes, deaths);
  const byRequest = groupBy(intervals, one => one.run.request);
  const violations = [
    ...records.flatMap(one => checkRecord(one, byRequest, allowance)),
    ...checkRuns(byRequest),
    ...checkOwners(intervals),
    ...checkGenerations(intervals),
    ...checkServers(notes, allowance),
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
    longestUnservedMs: unserved.ms,
    longestUnservedKey: unserved.key,
    violations,
  };
}

function intervalsOf(
  notes: readonly ServerNote[],
  deaths: readonly KilledServer[],
): Interval[] {
  const ends = new Map<string, {endMs: number; finished: boolean}>();
  for (const note of notes) {
    if (note.kind !== 'ended') continue;
    const name = `${note.host}|${note.request}|${note.attempt}`;
    ends.set(name, {endMs: note.endMs, finished: note.end === 'finished'});
  }
  return notes.flatMap(run => {
    if (run.kind !== 'run') return [];
    const name = `${run.host}|${run.request}|${run.attempt}`;
    const endMs = deathOf(run, deaths);
    const end = ends.get(name) ?? {endMs, finished: false};
    return [{run, ...end}];
  });
}

function deathOf(run: Run, deaths: readonly KilledServer[]): number {
  const later = deaths.filter(
    death => death.host === run.host && death.atMs >= run.startMs,
  );
  return Math.min(Date.now(), ...later.map(death => death.atMs));
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
  byRequest: ReadonlyMap<string, readonly Interval[]>,
  allowance: Allowance,
): Violation[] {
  const runs = byRequest.get(record.request) ?? [];
  const who = `${record.request} ${record.route} ${record.key}`;
  switch (record.outcome) {
    case 'done':
      if (runs.some(one => one.finished)) return [];
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
      if (allowance.hung) return [];
      return [{kind: 'hung', detail: `${who}: sent to ${record.target}`}];
    case 'unknown':
      return [];
  }
}

function checkRuns(
  byRequest: ReadonlyMap<string, readonly Interval[]>,
): Violation[] {
  return [...byRequest].flatMap(([request, runs]) => {
    if (runs.length < 2 || runs.every(one => one.run.idempotent)) return [];
    const hosts = runs.map(one => one.run.host).join(', ');
    return [{kind: 'run-twice' as const, detail: `${request} on ${hosts}`}];
  });
}

function checkOwners(intervals: readonly Interval[]): Violation[] {
  const byKey = groupBy(
    intervals.filter(one => one.run.slice !== null),
    one => `${one.run.service}/${one.run.slice}`,
  );
  return [...byKey].flatMap(([name, runs]) => checkOverlaps(name, runs));
}

function checkOverlaps(name: string, runs: readonly Interval[]): Violation[] {
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

function checkGenerations(intervals: readonly Interval[]): Violation[] {
  const newest = new Map<string, Run>();
  const violations: Violation[] = [];
  const ordered = [...intervals].sort((a, b) => a.run.startMs - b.run.startMs);
  for (const {run} of ordered) {
    if (run.slice === null || run.generation === null) continue;
    const name = `${run.service}/${run.slice}`;
    const known = newest.get(name);
    if (known !== undefined && goesBack(known, run)) {
      const from = `${known.generation} on ${known.host}`;
      const detail = `${name}: ${from}, then ${run.generation} on ${run.host}`;
      violations.push({kind: 'generation-back', detail});
    }
    newest.set(name, run);
  }
  return violations;
}

function goesBack(known: Run, run: Run): boolean {
  const before = known.generation ?? 0;
  const now = run.generation ?? 0;
  return now < before || (now === before && known.host !== run.host);
}

function checkServers(
  notes: readonly ServerNote[],
  allowance: Allowance,
): Violation[] {
  return notes.flatMap((note): Violation[] => {
    if (note.kind === 'lateWork') {
      const detail = `${note.host}: work ${note.afterMs} ms after leaving`;
      return [{kind: 'late-work', detail}];
    }
    if (note.kind !== 'overLimit') return [];
    const unseen = note.symptomForMs <= allowance.relapseMs;
    const surprised = !note.announced && unseen;
    if (surprised) return [];
    const detail = `${note.host}: ${note.offered} at ${note.bears}`;
    return [{kind: 'over-limit', detail}];
  });
}
