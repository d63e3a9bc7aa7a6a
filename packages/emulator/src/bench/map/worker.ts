/**
 * @fileoverview The process in which one map is filled and measured: its
 * entries come from the coordinator's own decisions.
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

const ZONES = 15;
const SERVICE = 'pairing' as ServiceName;
/** Time after which the coordinator's decisions are cut short. */
const SETTLE_LIMIT_MS = 10_000;

/** A map with the time and bytes that entries took. */
interface Filled {
  readonly map: ClusterMap;
  /** Whether the coordinator had nothing left to do. */
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
  const before = heldBytes();
  const filled = createFilled();
  configure(filled, document);
  for (let n = 0; n < members; n += 1) join(filled, n);
  settle(filled);
  const held = heldBytes() - before;
  const placed = summaryOf(filled);
  const snapshot = measureSnapshot(filled.map);
  const ring = timed(() => buildRing(filled.map));
  const oneLost = lose(filled, [1]);
  const zone = Array.from({length: members}, (_, n) => n);
  const zoneLost = lose(
    filled,
    zone.filter(n => n % ZONES === 0),
  );
  const joined = restart(filled, members);
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

/** Members end, then the coordinator settles what they leave behind. */
function lose(filled: Filled, gone: readonly number[]): Measurements {
  reset(filled);
  const members = gone.map(memberOf);
  apply(filled, {kind: 'ended', members});
  const promotionMs = round(filled.applyMs);
  const promotionBytes = filled.entryBytes;
  reset(filled);
  settle(filled);
  return {
    members: gone.length,
    promotionMs,
    promotionBytes,
    after: summaryOf(filled),
  };
}

function restart(filled: Filled, n: number): Measurements {
  reset(filled);
  join(filled, n);
  settle(filled);
  return summaryOf(filled);
}

function configure(filled: Filled, document: Workspace): void {
  const text = JSON.stringify(document);
  apply(filled, {kind: 'configured', number: 1, document: text});
}

function join(filled: Filled, n: number): void {
  const member = memberOf(n);
  const zone = `zone-${n % ZONES}` as ZoneName;
  const address = `10.0.${n >> 8}.${n & 255}:7101` as Address;
  const operators = address;
  const replaces = null;
  apply(filled, {kind: 'joined', member, zone, address, operators, replaces});
  apply(filled, {
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

/** Lets the coordinator decide until nothing is left; moves end at once. */
function settle(filled: Filled): void {
  filled.settled = false;
  const from = performance.now();
  while (performance.now() - from < SETTLE_LIMIT_MS) {
    const decided = timed(() => nextPlacement(filled.map));
    filled.decideMs += decided.ms;
    filled.longestDecideMs = Math.max(filled.longestDecideMs, decided.ms);
    const change = decided.result;
    if (change === null) {
      filled.settled = true;
      return;
    }
    apply(filled, change);
    release(filled);
  }
}

function release(filled: Filled): void {
  const moves = filled.map.services.get(SERVICE)?.moves;
  if (!moves || moves.size === 0) return;
  apply(filled, {
    kind: 'released',
    service: SERVICE,
    slices: [...moves.keys()],
    handovers: [],
  });
}

function apply(filled: Filled, change: Change): void {
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

function createFilled(): Filled {
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

function reset(filled: Filled): void {
  Object.assign(filled, createFilled(), {map: filled.map});
}

function summaryOf(filled: Filled): Measurements {
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
  const from = performance.now();
  const result = call();
  return {result, ms: performance.now() - from};
}

function heldBytes(): number {
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
