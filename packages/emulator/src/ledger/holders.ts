/** @fileoverview Checks that no two backend servers hold a slice at once. */

import type {HoldCounts, SharedHold} from './types.js';
import type {HoldRecord, ServerRecord} from '../server/types.js';

/** Number of records of each server in the history of a shared hold. */
const MAX_HISTORY = 8;

/** A server that was killed, which ends its holds. */
export interface EndedServer {
  readonly host: string;
  /** Monotonic time, in milliseconds. */
  readonly monotonicMs: number;
}

/** A time for which one server holds a slice. */
interface Hold {
  readonly host: string;
  readonly instance: string;
  readonly fromMs: number;
  untilMs: number;
}

/** What servers recorded about one slice. */
interface SliceHistory {
  readonly service: string;
  readonly slice: number;
  readonly holds: Hold[];
  readonly records: HoldRecord[];
}

/**
 * Finds the times for which two servers, or two instances on a host, held the
 * same slice. A server holds a slice from a grant to the end of its time, to
 * the end of a release, which is when no work runs any more, or until the
 * server is killed.
 *
 * @param serverRecords - Records of all backend servers.
 * @param endedServers - Servers that were killed.
 * @returns Each shared hold with both histories, in the order of time.
 */
export function findSharedHolds(
  serverRecords: readonly ServerRecord[],
  endedServers: readonly EndedServer[],
): SharedHold[] {
  const histories = collectHistories(serverRecords, endedServers);
  const shared = [...histories.values()].flatMap(findOverlaps);
  return shared.sort((a, b) => a.fromMs - b.fromMs);
}

/**
 * Counts grants, releases and moves.
 *
 * @param serverRecords - Records of all backend servers.
 * @returns The counts.
 */
export function countHolds(serverRecords: readonly ServerRecord[]): HoldCounts {
  const histories = collectHistories(serverRecords, []);
  const calls = holdRecordsOf(serverRecords);
  const grants = calls.filter(({kind}) => kind === 'granted');
  let moves = 0;
  for (const {holds} of histories.values()) {
    const ordered = [...holds].sort((a, b) => a.fromMs - b.fromMs);
    moves += ordered.filter(
      ({instance}, index) =>
        index > 0 && instance !== ordered[index - 1]?.instance,
    ).length;
  }
  return {
    grants: grants.length,
    refused: grants.filter(each => each.kind === 'granted' && each.refused)
      .length,
    releases: calls.filter(({kind}) => kind === 'released').length,
    moves,
  };
}

/** Lists the records of calls and holds among all records. */
function holdRecordsOf(serverRecords: readonly ServerRecord[]): HoldRecord[] {
  return serverRecords.filter(
    record =>
      record.kind === 'granted' ||
      record.kind === 'released' ||
      record.kind === 'holdEnded',
  );
}

function collectHistories(
  serverRecords: readonly ServerRecord[],
  endedServers: readonly EndedServer[],
): Map<string, SliceHistory> {
  const histories = new Map<string, SliceHistory>();
  for (const record of holdRecordsOf(serverRecords)) {
    const {service} = record;
    const killedAtMs = Math.min(
      ...endedServers
        .filter(({host}) => host === record.host)
        .map(({monotonicMs}) => monotonicMs)
        .filter(ms => ms >= record.monotonicMs),
    );
    for (const slice of record.slices) {
      const name = `${service}/${slice}`;
      const history = histories.get(name) ?? {
        service,
        slice,
        holds: [],
        records: [],
      };
      histories.set(name, history);
      history.records.push(record);
      applyRecord(history.holds, record, killedAtMs);
    }
  }
  return histories;
}

function applyRecord(
  holds: Hold[],
  record: HoldRecord,
  killedAtMs: number,
): void {
  const {host, instance, monotonicMs} = record;
  const latest = holds.findLast(hold => hold.instance === instance);
  const open =
    latest !== undefined && latest.untilMs > monotonicMs ? latest : null;
  switch (record.kind) {
    case 'granted': {
      const untilMs = Math.min(record.untilMs, killedAtMs);
      if (record.refused || untilMs <= monotonicMs) return;
      if (open === null) {
        holds.push({host, instance, fromMs: monotonicMs, untilMs});
      } else {
        open.untilMs = Math.max(open.untilMs, untilMs);
      }
      return;
    }
    case 'released':
      return;
    case 'holdEnded':
      if (open !== null) open.untilMs = monotonicMs;
      return;
  }
}

function findOverlaps(history: SliceHistory): SharedHold[] {
  const {service, slice} = history;
  const holds = [...history.holds].sort((a, b) => a.fromMs - b.fromMs);
  const shared: SharedHold[] = [];
  holds.forEach((later, index) => {
    for (const earlier of holds.slice(0, index)) {
      if (earlier.instance === later.instance) continue;
      if (earlier.untilMs <= later.fromMs) continue;
      const untilMs = Math.min(earlier.untilMs, later.untilMs);
      shared.push({
        service,
        slice,
        fromMs: later.fromMs,
        untilMs,
        holders: [earlier, later].map(({host, instance}) => ({
          host,
          instance,
          history: describeRecords(history, instance, later.fromMs, untilMs),
        })),
      });
    }
  });
  return shared;
}

/** Describes the latest records of a server, with times before the overlap. */
function describeRecords(
  {records, slice}: SliceHistory,
  instance: string,
  fromMs: number,
  untilMs: number,
): string[] {
  return records
    .filter(record => record.instance === instance)
    .filter(record => record.monotonicMs <= untilMs)
    .slice(-MAX_HISTORY)
    .map(record => {
      const at = `${(record.monotonicMs - fromMs).toFixed(1)} ms`;
      return `${at} ${describeRecord(record, slice, fromMs)}`;
    });
}

function describeRecord(
  record: HoldRecord,
  slice: number,
  fromMs: number,
): string {
  switch (record.kind) {
    case 'granted': {
      const generation = record.generations[record.slices.indexOf(slice)];
      if (record.refused) return `refused generation ${generation}`;
      const until = (record.untilMs - fromMs).toFixed(1);
      return `granted generation ${generation} until ${until} ms`;
    }
    case 'released': {
      const generation = record.generations[record.slices.indexOf(slice)];
      return `asked to release generation ${generation}`;
    }
    case 'holdEnded':
      return `hold ended: ${record.reason}`;
  }
}
