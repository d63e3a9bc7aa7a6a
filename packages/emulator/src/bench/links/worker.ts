/** @fileoverview The process at one end of the links that are measured. */

import {build} from 'hdr-histogram-js';
import type {
  Address,
  AttemptId,
  MemberId,
  Message,
  RequestId,
  ServiceName,
  Slice,
  Version,
  WorkspaceName,
} from '@jackdawfall/core';
import {DEFAULT_TUNING} from '@jackdawfall/core';
import {Links} from '@jackdawfall/wire';
import {serve, usage} from '../workers.js';
import type {DriveOrder, DriveResult, Peer} from './types.js';

const BODY = new Uint8Array(200);
const HEADERS = [
  {name: 'host', value: 'finder.example'},
  {name: 'content-type', value: 'application/json'},
];
const HISTOGRAM = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 60_000_000,
  numberOfSignificantValueDigits: 3,
} as const;

let batchBytes = DEFAULT_TUNING.links.batchBytes;
type Handler = (own: Links, from: MemberId, message: Message) => void;

let handle: Handler = () => {};
let links: Links | null = null;
let losses = 0;

serve({
  open: async (options: {member: string; batchBytes?: number}) => {
    batchBytes = options.batchBytes ?? batchBytes;
    const opened = await openLinks(options.member);
    links = opened.links;
    return opened.peer;
  },
  echo: (to: Peer) => echo(to),
  drive: (order: DriveOrder) => drive(order),
  /** Opens links from many members of its own to one peer. */
  crowd: async ({count, to}: {count: number; to: Peer}) => {
    for (let n = 0; n < count; n += 1) {
      const own = makeLinks(`crowd${process.pid}-${n}#1`, '127.0.0.1:1');
      touch(own, to);
      if (n % 50 === 0) await pause(20);
    }
  },
  /** Listens as many members. */
  village: async ({count}: {count: number}) => {
    const peers: Peer[] = [];
    for (let n = 0; n < count; n += 1) {
      const {peer} = await openLinks(`village${process.pid}-${n}#1`);
      peers.push(peer);
    }
    return peers;
  },
  /** Opens a link to each peer. */
  visit: async (peers: readonly Peer[]) => {
    for (const [n, peer] of peers.entries()) {
      if (links) touch(links, peer);
      if (n % 50 === 0) await pause(20);
    }
  },
  /** Renews with each peer, as a member does with its grantors. */
  renew: ({peers, periodMs}: {peers: readonly Peer[]; periodMs: number}) => {
    setInterval(() => peers.forEach(renew), periodMs);
  },
  /** Answers renewals, as a grantor does. */
  grant: () => grant(),
  size: () => links?.size ?? 0,
  losses: () => losses,
  usage: () => usage(),
  held: () => usage(true),
});

function makeLinks(member: string, address: string, port = 0): Links {
  const own = new Links({
    self: {
      member: member as MemberId,
      address: address as Address,
      workspace: 'bench' as WorkspaceName,
    },
    listen: {ip: '127.0.0.1', port},
    tuning: {...DEFAULT_TUNING.links, connectTimeoutMs: 10_000, batchBytes},
    signal: new AbortController().signal,
    on: {
      message: (from, message) => handle(own, from, message),
      opened: () => {},
      lost: () => (losses += 1),
    },
  });
  return own;
}

async function openLinks(member: string): Promise<{links: Links; peer: Peer}> {
  const own = makeLinks(member, '127.0.0.1:1');
  const port = await own.listen();
  return {links: own, peer: {member, address: `127.0.0.1:${port}`}};
}

function touch(own: Links, to: Peer): void {
  own.send(to.member as MemberId, to.address as Address, {
    kind: 'cancel',
    attempt: 'touch' as AttemptId,
  });
}

function renew(to: Peer): void {
  links?.send(to.member as MemberId, to.address as Address, {
    kind: 'renew',
    member: 'host-0123.a.example#0123456789abcdef' as MemberId,
    round: 123_456,
    row: 1_234_567,
    version: 98_765 as Version,
    configuration: 4321,
  });
}

function grant(): void {
  handle = (own, from, message) => {
    if (message.kind !== 'renew') return;
    own.send(from, '127.0.0.1:1' as Address, {
      kind: 'renewed',
      round: message.round,
      granted: true,
      reason: '',
      version: message.version,
      configuration: message.configuration,
    });
  };
}

/** Answers each dispatch of a peer as a backend server's daemon would. */
function echo(to: Peer): void {
  const address = to.address as Address;
  handle = (own, from, message) => {
    if (message.kind !== 'dispatch') return;
    const {attempt, body} = message;
    own.send(from, address, {
      kind: 'head',
      attempt,
      status: 200,
      headers: HEADERS,
    });
    own.send(from, address, {kind: 'data', attempt, bytes: body});
    own.send(from, address, {kind: 'end', attempt, outstanding: 1});
  };
}

function drive(order: DriveOrder): Promise<DriveResult> {
  const latencies = build(HISTOGRAM);
  const begun = new Map<string, number>();
  const before = usage();
  let sent = 0;
  let done = 0;
  const next = () => {
    if (sent >= order.requests) return;
    sent += 1;
    begun.set(String(sent), performance.now());
    sendDispatch(order.to, String(sent));
  };
  return new Promise(resolve => {
    handle = (_own, _from, message) => {
      if (message.kind !== 'end') return;
      const at = begun.get(message.attempt) ?? 0;
      begun.delete(message.attempt);
      latencies.recordValue(Math.round((performance.now() - at) * 1000));
      done += 1;
      if (done < order.requests) next();
      else resolve(result(before, latencies));
    };
    for (let n = 0; n < order.outstanding; n += 1) next();
  });

  function result(
    from: ReturnType<typeof usage>,
    histogram: ReturnType<typeof build>,
  ): DriveResult {
    const after = usage();
    return {
      durationMs: after.atMs - from.atMs,
      cpuUs: after.cpuUs - from.cpuUs,
      p50Us: histogram.getValueAtPercentile(50),
      p99Us: histogram.getValueAtPercentile(99),
    };
  }
}

function sendDispatch(to: Peer, attempt: string): void {
  links?.send(to.member as MemberId, to.address as Address, {
    kind: 'dispatch',
    attempt: attempt as AttemptId,
    to: to.member as MemberId,
    request: attempt as RequestId,
    service: 'finder' as ServiceName,
    slice: 4711 as Slice,
    method: 'POST',
    path: '/practicas/4711/partners?slot=3',
    headers: HEADERS,
    idempotent: false,
    priority: 'interactive',
    idempotencyKey: null,
    budgetMs: 900,
    urgency: 0,
    objectiveMs: 0,
    version: 12 as Version,
    body: BODY,
    bodyEnds: true,
  });
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
