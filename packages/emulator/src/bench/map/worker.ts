/**
 * @fileoverview Worker process that fills and measures one map. The log entries
 * come from the decisions of the real coordinator.
 */

import type {
  Address,
  Change,
  ClusterMap,
  InstanceId,
  MemberId,
  ServiceName,
  Version,
  Workspace,
  WriteId,
  ZoneName,
} from '@jackdawfall/core';
import {
  applyEntry,
  createMap,
  serializeMap,
  parseMap,
  nextPlacement,
  buildRing,
} from '@jackdawfall/core';
import {buildCityDocument} from '../../deployment/operations.js';
import type {Measurements} from '../types.js';
import {serve} from '../workers.js';
import type {MapSize} from './types.js';

const ZONE_COUNT = 15;
const SERVICE = 'pairing' as ServiceName;
/** Maximum time for the coordinator's decisions after a change. */
const SETTLE_TIMEOUT_MS = 10_000;

/** A map with the time and size of the entries applied to it. */
interface MeasuredMap {
  readonly map: ClusterMap;
  /** Whether the coordinator has no further change to make. */
  settled: boolean;
  kinds: Record<string, number>;
  entries: number;
  entryBytes: number;
  largestEntryBytes: number;
  applyMs: number;
  longestApplyMs: number;
  decideMs: number;
  longestDecideMs: number;
}

serve({measure});

async function measure({members, slices}: MapSize): Promise<Measurements> {
  const document = await buildCityDocument({slices});
  const before = heapBytes();
  const filled = createMeasuredMap();
  applyConfiguration(filled, document);
  for (let n = 0; n < members; n += 1) joinMember(filled, n);
  settle(filled);
  const held = heapBytes() - before;
  const placed = summaryOf(filled);
  const snapshot = measureSnapshot(filled.map);
  const ring = timed(() => buildRing(filled.map));
  const oneLost = endMembers(filled, [1]);
  const zone = Array.from({length: members}, (_, n) => n);
  const zoneLost = endMembers(
    filled,
    zone.filter(n => n % ZONE_COUNT === 0),
  );
  const joined = joinAndSettle(filled, members);
  return {
    members,
    slices,
    heldMb: megabytes(held),
    ...placed,
    ringMs: round(ring.ms),
    snapshot,
    oneLost,
    zoneLost,
    oneJoined: joined,
  };
}

function measureSnapshot(map: ClusterMap): Measurements {
  const written = timed(() => serializeMap(map));
  const read = timed(() => parseMap(written.result, 0));
  return {
    megabytes: megabytes(Buffer.byteLength(written.result)),
    writeMs: round(written.ms),
    readMs: round(read.ms),
  };
}

/** Ends members, then lets the coordinator replace them. */
function endMembers(
  filled: MeasuredMap,
  gone: readonly number[],
): Measurements {
  resetCounters(filled);
  const members = gone.map(memberOf);
  applyChange(filled, {kind: 'ended', members});
  const promotionMs = round(filled.applyMs);
  const promotionBytes = filled.entryBytes;
  resetCounters(filled);
  settle(filled);
  return {
    members: gone.length,
    promotionMs,
    promotionBytes,
    after: summaryOf(filled),
  };
}

function joinAndSettle(filled: MeasuredMap, n: number): Measurements {
  resetCounters(filled);
  joinMember(filled, n);
  settle(filled);
  return summaryOf(filled);
}

function applyConfiguration(filled: MeasuredMap, document: Workspace): void {
  const text = JSON.stringify(document);
  applyChange(filled, {kind: 'configured', number: 1, document: text});
}

function joinMember(filled: MeasuredMap, n: number): void {
  const member = memberOf(n);
  const zone = `zone-${n % ZONE_COUNT}` as ZoneName;
  const address = `10.0.${n >> 8}.${n & 255}:7101` as Address;
  const operators = address;
  const replaces = null;
  applyChange(filled, {
    kind: 'joined',
    member,
    zone,
    address,
    operators,
    replaces,
  });
  applyChange(filled, {
    kind: 'offered',
    member,
    service: SERVICE,
    instance: `instance-${n}` as InstanceId,
    slots: 20,
    leaving: false,
  });
}

function memberOf(n: number): MemberId {
  return `host-${n}#0123456789abcdef` as MemberId;
}

/** Applies the coordinator's decisions until none is left; moves end immediately. */
function settle(filled: MeasuredMap): void {
  filled.settled = false;
  const startMs = performance.now();
  while (performance.now() - startMs < SETTLE_TIMEOUT_MS) {
    const decided = timed(() => nextPlacement(filled.map));
    filled.decideMs += decided.ms;
    filled.longestDecideMs = Math.max(filled.longestDecideMs, decided.ms);
    const change = decided.result;
    if (change === null) {
      filled.settled = true;
      return;
    }
    applyChange(filled, change);
    releaseMoves(filled);
  }
}

function releaseMoves(filled: MeasuredMap): void {
  const moves = filled.map.services.get(SERVICE)?.moves;
  if (!moves || moves.size === 0) return;
  applyChange(filled, {
    kind: 'released',
    service: SERVICE,
    slices: [...moves.keys()],
    handovers: [],
  });
}

function applyChange(filled: MeasuredMap, change: Change): void {
  const version = (filled.map.version + 1) as Version;
  const writeId = `write-${version}` as WriteId;
  const entry = {version, writeId, by: 'bench', at: 0, change};
  const bytes = Buffer.byteLength(JSON.stringify(entry));
  const {ms} = timed(() =>
    applyEntry(filled.map, {entry, revision: version}, 0),
  );
  filled.entries += 1;
  filled.kinds[change.kind] = (filled.kinds[change.kind] ?? 0) + 1;
  filled.entryBytes += bytes;
  filled.largestEntryBytes = Math.max(filled.largestEntryBytes, bytes);
  filled.applyMs += ms;
  filled.longestApplyMs = Math.max(filled.longestApplyMs, ms);
}

function createMeasuredMap(): MeasuredMap {
  return {
    map: createMap(),
    settled: true,
    kinds: {},
    entries: 0,
    entryBytes: 0,
    largestEntryBytes: 0,
    applyMs: 0,
    longestApplyMs: 0,
    decideMs: 0,
    longestDecideMs: 0,
  };
}

function resetCounters(filled: MeasuredMap): void {
  Object.assign(filled, createMeasuredMap(), {map: filled.map});
}

function summaryOf(filled: MeasuredMap): Measurements {
  return {
    settled: filled.settled,
    kinds: {...filled.kinds},
    entries: filled.entries,
    entryBytes: filled.entryBytes,
    largestEntryBytes: filled.largestEntryBytes,
    applyMs: round(filled.applyMs),
    longestApplyMs: round(filled.longestApplyMs),
    decideMs: round(filled.decideMs),
    longestDecideMs: round(filled.longestDecideMs),
  };
}

function timed<Result>(call: () => Result): {result: Result; ms: number} {
  const startMs = performance.now();
  const result = call();
  return {result, ms: performance.now() - startMs};
}

function heapBytes(): number {
  globalThis.gc?.();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function megabytes(bytes: number): number {
  return Math.round((bytes * 100) / 1024 / 1024) / 100;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
