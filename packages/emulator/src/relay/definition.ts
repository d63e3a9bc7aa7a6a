/** @fileoverview A TCP relay on loopback that injects network faults. */

import type {RelayLedger, RelayOptions, RelayPorts, Rule} from './types.js';
import type {RelayCommand} from './types.js';
import type {Socket} from 'node:net';
import {connect, createServer} from 'node:net';

import {startControlPort} from '../control/definition.js';
import {LOOPBACK, listen} from '../control/logic.js';
import {findPeer} from './peers.js';
import type {ConnectionPorts} from './peers.js';
import {RELAY_COMMANDS} from './types.js';

/** One relayed connection: a client's socket and one to the target. */
interface RelayedConnection {
  /** Name of the process that opened it, or null while unknown. */
  peer: string | null;
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  readonly openedMs: number;
}

interface Relay {
  readonly options: RelayOptions;
  readonly ledger: RelayLedger;
  readonly connections: Set<RelayedConnection>;
  /** Rules by the name of the peer; `ANY_PEER` for all others. */
  readonly rules: Map<string, {rule: Rule; sinceMs: number}>;
  /** Process ids of the peers by name. */
  pids: Readonly<Record<string, number>>;
}

const ANY_PEER = '';
const PASS: Rule = {kind: 'pass'};

/**
 * Starts a relay in this process.
 *
 * @param options - Ports and target.
 * @param signal - Stops the relay.
 * @returns The ports that it listens on.
 */
export async function startRelay(
  options: RelayOptions,
  signal: AbortSignal,
): Promise<RelayPorts> {
  const relay: Relay = {
    options,
    ledger: {opened: 0, reset: 0, bytesTo: 0, bytesFrom: 0},
    connections: new Set(),
    rules: new Map(),
    pids: {},
  };
  const server = createServer({allowHalfOpen: true}, clientSocket =>
    openConnection(relay, clientSocket),
  );
  const port = await listen(server, options.port, signal);
  signal.addEventListener('abort', () =>
    relay.connections.forEach(destroySockets),
  );
  const controlPort = await startControlPort(
    {
      port: options.controlPort,
      commands: RELAY_COMMANDS,
      execute: command => executeCommand(relay, command),
      ledger: () => ({...relay.ledger, open: relay.connections.size}),
    },
    signal,
  );
  return {port, controlPort};
}

function executeCommand(relay: Relay, command: RelayCommand): void {
  if (command.kind === 'peers') {
    relay.pids = command.pids;
    for (const connection of relay.connections) identifyPeer(relay, connection);
    return;
  }
  const sinceMs = performance.now();
  if (command.from === undefined) relay.rules.clear();
  relay.rules.set(command.from ?? ANY_PEER, {rule: command, sinceMs});
  for (const connection of relay.connections) applyRule(relay, connection);
}

/** A connection may have been opened before the names of peers are known. */
function identifyPeer(relay: Relay, connection: RelayedConnection): void {
  connection.peer ??= findPeer(portsOf(connection.clientSocket), relay.pids);
}

function portsOf({remotePort = 0, localPort = 0}: Socket): ConnectionPorts {
  return {source: remotePort, destination: localPort};
}

function openConnection(relay: Relay, clientSocket: Socket): void {
  const peer = findPeer(portsOf(clientSocket), relay.pids);
  relay.ledger.opened++;
  if (ruleOf(relay, peer).kind === 'cut') {
    relay.ledger.reset++;
    clientSocket.on('error', () => undefined);
    clientSocket.resetAndDestroy();
    return;
  }
  const [ip, port] = relay.options.target.split(':');
  const targetSocket = connect({
    host: ip ?? LOOPBACK,
    port: Number(port),
    allowHalfOpen: true,
  });
  const connection: RelayedConnection = {
    peer,
    clientSocket,
    targetSocket,
    openedMs: performance.now(),
  };
  relay.connections.add(connection);
  connectSockets(relay, connection);
  applyRule(relay, connection);
}

function connectSockets(relay: Relay, connection: RelayedConnection): void {
  const {clientSocket, targetSocket} = connection;
  forward(
    relay,
    connection,
    clientSocket,
    targetSocket,
    size => (relay.ledger.bytesTo += size),
  );
  forward(
    relay,
    connection,
    targetSocket,
    clientSocket,
    size => (relay.ledger.bytesFrom += size),
  );
  for (const socket of [clientSocket, targetSocket]) {
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => closeConnection(relay, connection));
  }
}

function forward(
  relay: Relay,
  connection: RelayedConnection,
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
    const rule = ruleOf(relay, connection.peer);
    if (rule.kind === 'delay') setTimeout(write, rule.ms, chunk);
    else write(chunk);
  });
  from.on('end', () => to.end());
  to.on('drain', () => applyRule(relay, connection));
}

/** Closes both sides, unless the rule keeps the other side from noticing. */
function closeConnection(relay: Relay, connection: RelayedConnection): void {
  if (isSilenced(relay, connection)) return;
  relay.connections.delete(connection);
  destroySockets(connection);
}

function destroySockets(connection: RelayedConnection): void {
  connection.clientSocket.destroy();
  connection.targetSocket.destroy();
}

function applyRule(relay: Relay, connection: RelayedConnection): void {
  const rule = ruleOf(relay, connection.peer);
  switch (rule.kind) {
    case 'pass':
    case 'delay':
      setFlowing(connection.clientSocket, true);
      setFlowing(connection.targetSocket, true);
      if (
        connection.clientSocket.destroyed ||
        connection.targetSocket.destroyed
      ) {
        closeConnection(relay, connection);
      }
      return;
    case 'cut':
      relay.ledger.reset++;
      connection.clientSocket.resetAndDestroy();
      connection.targetSocket.resetAndDestroy();
      return;
    case 'cutOneWay':
      setFlowing(connection.clientSocket, rule.direction !== 'toTarget');
      setFlowing(connection.targetSocket, rule.direction !== 'fromTarget');
      return;
    case 'blackhole':
      setFlowing(connection.clientSocket, !isSilenced(relay, connection));
      setFlowing(connection.targetSocket, !isSilenced(relay, connection));
      return;
  }
}

function setFlowing(socket: Socket, on: boolean): void {
  if (on) socket.resume();
  else socket.pause();
}

function isSilenced(relay: Relay, connection: RelayedConnection): boolean {
  const found = findRule(relay, connection.peer);
  if (found === undefined) return false;
  if (found.rule.kind === 'cutOneWay') return true;
  if (found.rule.kind !== 'blackhole') return false;
  return !found.rule.freshWorks || connection.openedMs < found.sinceMs;
}

function ruleOf(relay: Relay, peer: string | null): Rule {
  return findRule(relay, peer)?.rule ?? PASS;
}

/** The rule of a peer, or else the one for all peers. */
function findRule(
  relay: Relay,
  peer: string | null,
): {rule: Rule; sinceMs: number} | undefined {
  const peerRule = peer === null ? undefined : relay.rules.get(peer);
  return peerRule ?? relay.rules.get(ANY_PEER);
}
