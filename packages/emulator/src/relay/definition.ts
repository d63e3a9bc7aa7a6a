/** @fileoverview A TCP relay on loopback that can cut, silence and delay. */

import type {RelayLedger, RelayOptions, RelayPorts, Rule} from './types.js';
import type {RelayOrder} from './types.js';
import type {Socket} from 'node:net';
import {connect, createServer} from 'node:net';

import {startControlPort} from '../control/definition.js';
import {LOOPBACK, listen} from '../control/logic.js';
import {peerOf} from './peers.js';
import {RELAY_ORDERS} from './types.js';

/** One relayed connection: a caller's socket and one to the target. */
interface Pair {
  /** Name of the process that opened it; null while unknown. */
  peer: string | null;
  readonly near: Socket;
  readonly far: Socket;
  readonly openedMs: number;
}

interface Relay {
  readonly options: RelayOptions;
  readonly ledger: RelayLedger;
  readonly pairs: Set<Pair>;
  readonly rules: Map<string, {rule: Rule; sinceMs: number}>;
  pids: Readonly<Record<string, number>>;
}

const EVERYONE = '';
const PASS: Rule = {kind: 'pass'};

/**
 * Starts a relay in this process.
 *
 * @param options - Ports and target.
 * @param signal - Stops it.
 * @returns Where it listens.
 */
export async function startRelay(
  options: RelayOptions,
  signal: AbortSignal,
): Promise<RelayPorts> {
  const relay: Relay = {
    options,
    ledger: {opened: 0, reset: 0, bytesTo: 0, bytesFrom: 0},
    pairs: new Set(),
    rules: new Map(),
    pids: {},
  };
  const server = createServer({allowHalfOpen: true}, near => open(relay, near));
  const port = await listen(server, options.port, signal);
  signal.addEventListener('abort', () => relay.pairs.forEach(drop));
  const controlPort = await startControlPort(
    {
      port: options.controlPort,
      orders: RELAY_ORDERS,
      execute: order => obey(relay, order),
      ledger: () => ({...relay.ledger, open: relay.pairs.size}),
    },
    signal,
  );
  return {port, controlPort};
}

function obey(relay: Relay, order: RelayOrder): void {
  if (order.kind === 'peers') {
    relay.pids = order.pids;
    for (const pair of relay.pairs) name(relay, pair);
    return;
  }
  const sinceMs = performance.now();
  if (order.from === undefined) relay.rules.clear();
  relay.rules.set(order.from ?? EVERYONE, {rule: order, sinceMs});
  for (const pair of relay.pairs) apply(relay, pair);
}

/** Connections may be older than the names of those who opened them. */
function name(relay: Relay, pair: Pair): void {
  const {remotePort} = pair.near;
  if (remotePort === undefined) return;
  pair.peer ??= peerOf(remotePort, relay.pids);
}

function open(relay: Relay, near: Socket): void {
  const peer = peerOf(near.remotePort ?? 0, relay.pids);
  relay.ledger.opened++;
  if (ruleOf(relay, peer).kind === 'cut') {
    relay.ledger.reset++;
    near.on('error', () => undefined);
    near.resetAndDestroy();
    return;
  }
  const [ip, port] = relay.options.target.split(':');
  const far = connect({
    host: ip ?? LOOPBACK,
    port: Number(port),
    allowHalfOpen: true,
  });
  const pair: Pair = {peer, near, far, openedMs: performance.now()};
  relay.pairs.add(pair);
  join(relay, pair);
  apply(relay, pair);
}

function join(relay: Relay, pair: Pair): void {
  const {near, far} = pair;
  forward(relay, pair, near, far, size => (relay.ledger.bytesTo += size));
  forward(relay, pair, far, near, size => (relay.ledger.bytesFrom += size));
  for (const socket of [near, far]) {
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => close(relay, pair));
  }
}

function forward(
  relay: Relay,
  pair: Pair,
  from: Socket,
  to: Socket,
  count: (size: number) => void,
): void {
  const write = (chunk: Buffer): void => {
    if (to.destroyed) return;
    count(chunk.length);
    if (!to.write(chunk)) from.pause();
  };
  from.on('data', (chunk: Buffer) => {
    const rule = ruleOf(relay, pair.peer);
    if (rule.kind === 'delay') setTimeout(write, rule.ms, chunk);
    else write(chunk);
  });
  from.on('end', () => to.end());
  to.on('drain', () => apply(relay, pair));
}

/** Closing passes on at once, unless the connection has been silenced. */
function close(relay: Relay, pair: Pair): void {
  if (isSilent(relay, pair)) return;
  relay.pairs.delete(pair);
  drop(pair);
}

function drop(pair: Pair): void {
  pair.near.destroy();
  pair.far.destroy();
}

function apply(relay: Relay, pair: Pair): void {
  const rule = ruleOf(relay, pair.peer);
  switch (rule.kind) {
    case 'pass':
    case 'delay':
      flow(pair.near, true);
      flow(pair.far, true);
      if (pair.near.destroyed || pair.far.destroyed) close(relay, pair);
      return;
    case 'cut':
      relay.ledger.reset++;
      pair.near.resetAndDestroy();
      pair.far.resetAndDestroy();
      return;
    case 'cutOneWay':
      flow(pair.near, rule.direction !== 'toTarget');
      flow(pair.far, rule.direction !== 'fromTarget');
      return;
    case 'blackhole':
      flow(pair.near, !isSilent(relay, pair));
      flow(pair.far, !isSilent(relay, pair));
      return;
  }
}

function flow(socket: Socket, on: boolean): void {
  if (on) socket.resume();
  else socket.pause();
}

function isSilent(relay: Relay, pair: Pair): boolean {
  const held = heldRule(relay, pair.peer);
  if (held === undefined) return false;
  if (held.rule.kind === 'cutOneWay') return true;
  if (held.rule.kind !== 'blackhole') return false;
  return !held.rule.freshWorks || pair.openedMs < held.sinceMs;
}

function ruleOf(relay: Relay, peer: string | null): Rule {
  return heldRule(relay, peer)?.rule ?? PASS;
}

function heldRule(
  relay: Relay,
  peer: string | null,
): {rule: Rule; sinceMs: number} | undefined {
  const own = peer === null ? undefined : relay.rules.get(peer);
  return own ?? relay.rules.get(EVERYONE);
}
