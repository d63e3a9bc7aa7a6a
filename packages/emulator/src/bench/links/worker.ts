/** @fileoverview Worker process at one end of the measured links. */

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
import {DEFAULT_TUNING, NO_COST_CLASS} from '@jackdawfall/core';
import {Links} from '@jackdawfall/wire';
import {serve, readOwnUsage} from '../workers.js';
import type {DriveOptions, DriveResult, Peer} from './types.js';

const BODY = new Uint8Array(200);
const HEADERS = [
  {name: 'host', value: 'finder.example'},
  {name: 'content-type', value: 'application/json'},
];
const HISTOGRAM_OPTIONS = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 60_000_000,
  numberOfSignificantValueDigits: 3,
} as const;

let batchBytes = DEFAULT_TUNING.links.batchBytes;
type Handler = (own: Links, from: MemberId, message: Message) => void;

let handleMessage: Handler = () => {};
let links: Links | null = null;
let losses = 0;

serve({
  open: async (options: {member: string; batchBytes?: number}) => {
    batchBytes = options.batchBytes ?? batchBytes;
    const opened = await openLinks(options.member);
    links = opened.links;
    return opened.peer;
  },
  echo: (to: Peer) => answerDispatches(to),
  drive: (order: DriveOptions) => sendRequests(order),
  /** Opens links to one peer, each from a member of its own. */
  openFromMany: async ({count, to}: {count: number; to: Peer}) => {
    for (let n = 0; n < count; n += 1) {
      const own = createLinks(`peers${process.pid}-${n}#1`, '127.0.0.1:1');
      openLink(own, to);
      if (n % 50 === 0) await pause(20);
    }
  },
  /** Listens on behalf of many members. */
  listenAsMany: async ({count}: {count: number}) => {
    const peers: Peer[] = [];
    for (let n = 0; n < count; n += 1) {
      const {peer} = await openLinks(`members${process.pid}-${n}#1`);
      peers.push(peer);
    }
    return peers;
  },
  /** Opens a link to each peer. */
  openToAll: async (peers: readonly Peer[]) => {
    for (const [n, peer] of peers.entries()) {
      if (links) openLink(links, peer);
      if (n % 50 === 0) await pause(20);
    }
  },
  /** Sends lease renewals to each peer, as a member does to its grantors. */
  renew: ({peers, periodMs}: {peers: readonly Peer[]; periodMs: number}) => {
    setInterval(() => peers.forEach(sendRenewal), periodMs);
  },
  /** Replies to lease renewals, as a grantor does. */
  grant: () => answerRenewals(),
  size: () => links?.size ?? 0,
  losses: () => losses,
  usage: () => readOwnUsage(),
  held: () => readOwnUsage(true),
});

function createLinks(member: string, address: string, port = 0): Links {
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
      message: (from, message) => handleMessage(own, from, message),
      opened: () => {},
      lost: () => (losses += 1),
    },
  });
  return own;
}

async function openLinks(member: string): Promise<{links: Links; peer: Peer}> {
  const own = createLinks(member, '127.0.0.1:1');
  const port = await own.listen();
  return {links: own, peer: {member, address: `127.0.0.1:${port}`}};
}

/** Opens a link by sending a small message. */
function openLink(own: Links, to: Peer): void {
  own.send(to.member as MemberId, to.address as Address, {
    kind: 'cancel',
    attempt: 'touch' as AttemptId,
  });
}

function sendRenewal(to: Peer): void {
  links?.send(to.member as MemberId, to.address as Address, {
    kind: 'renew',
    member: 'host-0123.a.example#0123456789abcdef' as MemberId,
    round: 123_456,
    row: 1_234_567,
    version: 98_765 as Version,
    configuration: 4321,
  });
}

function answerRenewals(): void {
  handleMessage = (own, from, message) => {
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

/** Responds to each dispatch of a peer, as the owner of the slice does. */
function answerDispatches(to: Peer): void {
  const address = to.address as Address;
  handleMessage = (own, from, message) => {
    if (message.kind !== 'dispatch') return;
    const {attempt, body} = message;
    own.send(from, address, {
      kind: 'head',
      attempt,
      status: 200,
      headers: HEADERS,
    });
    own.send(from, address, {kind: 'data', attempt, bytes: body});
    own.send(from, address, {
      kind: 'end',
      attempt,
      outstanding: 1,
      workMs: 0,
      expectedMs: 0,
    });
  };
}

function sendRequests(options: DriveOptions): Promise<DriveResult> {
  const latencies = build(HISTOGRAM_OPTIONS);
  const startTimes = new Map<string, number>();
  const before = readOwnUsage();
  let sent = 0;
  let done = 0;
  const next = () => {
    if (sent >= options.requests) return;
    sent += 1;
    startTimes.set(String(sent), performance.now());
    sendDispatch(options.to, String(sent));
  };
  return new Promise(resolve => {
    handleMessage = (_own, _from, message) => {
      if (message.kind !== 'end') return;
      const startMs = startTimes.get(message.attempt) ?? 0;
      startTimes.delete(message.attempt);
      latencies.recordValue(Math.round((performance.now() - startMs) * 1000));
      done += 1;
      if (done < options.requests) next();
      else resolve(result(before, latencies));
    };
    for (let n = 0; n < options.outstanding; n += 1) next();
  });

  function result(
    from: ReturnType<typeof readOwnUsage>,
    histogram: ReturnType<typeof build>,
  ): DriveResult {
    const after = readOwnUsage();
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
    costClass: NO_COST_CLASS,
    version: 12 as Version,
    body: BODY,
    bodyEnds: true,
  });
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
