/**
 * @fileoverview Pool of keep-alive connections to the local backend server.
 * When one of them becomes unresponsive, all are replaced.
 */

import {Agent, request} from 'node:http';
import type {ClientRequest, RequestOptions} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

import type {Announcement} from '@jackdawfall/core';

const IDLE_TIMEOUT_MS = 30_000;

/** Closes an idle connection on which anything arrives: it belongs to nothing. */
class IdleGuardAgent extends Agent {
  override keepSocketAlive(socket: Duplex): boolean {
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) socket.once('data', destroyOnData);
    return isKept;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off('data', destroyOnData);
    super.reuseSocket(socket, request);
  }
}

function destroyOnData(this: Duplex): void {
  this.destroy();
}

/** A connection pool that stays within the limit announced by the server. */
export class ServerConnectionPool {
  private agent: Agent;
  private readonly host: string;
  private readonly port: number;

  /** @param announcement - Announcement of the backend server. */
  constructor(private readonly announcement: Announcement) {
    const [host, port] = announcement.address.split(':');
    this.host = host;
    this.port = Number(port);
    this.agent = this.createAgent(announcement.connections);
  }

  /**
   * Starts a request.
   *
   * @param options - Method, path, headers and signal.
   * @returns The outgoing request, of which nothing has been written.
   */
  open(options: RequestOptions): ClientRequest {
    return request({
      ...options,
      host: this.host,
      port: this.port,
      agent: this.agent,
    });
  }

  /**
   * Starts a request on a connection of its own, which closes afterwards and
   * isn't counted.
   *
   * @param options - Method, path, headers and signal.
   * @returns The outgoing request, of which nothing has been written.
   */
  openUnshared(options: RequestOptions): ClientRequest {
    const {host, port} = this;
    return request({...options, host, port, agent: false});
  }

  /**
   * Makes new requests use new connections. Old connections close when their
   * requests end; old and new ones together stay within the limit.
   */
  useNewConnections(): void {
    const oldAgent = this.agent;
    oldAgent.maxFreeSockets = 0;
    for (const socket of socketsOf(oldAgent.freeSockets)) socket.destroy();
    const busy = socketsOf(oldAgent.sockets).length;
    const remaining = this.announcement.connections - busy;
    this.agent = this.createAgent(Math.max(1, remaining));
  }

  /** Closes all connections, including those in use. */
  destroy(): void {
    this.agent.destroy();
  }

  private createAgent(maxSockets: number): Agent {
    return new IdleGuardAgent({
      keepAlive: true,
      maxSockets,
      timeout: IDLE_TIMEOUT_MS,
      scheduling: 'lifo',
    });
  }
}

function socketsOf(socketsByName: NodeJS.ReadOnlyDict<Socket[]>): Socket[] {
  return Object.values(socketsByName).flatMap(sockets => sockets ?? []);
}
