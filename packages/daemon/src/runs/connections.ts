/**
 * @fileoverview Connections to the backend server beside this daemon. They
 * are reused; when one of them goes silent, none of the old is used again.
 */

import {Agent, request} from 'node:http';
import type {ClientRequest, RequestOptions} from 'node:http';
import type {Socket} from 'node:net';

import type {Announcement} from '@jackdawfall/core';

const IDLE_TIMEOUT_MS = 30_000;

/** Reusable connections, at most as many as the server accepts. */
export class ServerConnectionPool {
  private agent: Agent;
  private readonly host: string;
  private readonly port: number;

  /** @param announcement - What the backend server says of itself. */
  constructor(private readonly announcement: Announcement) {
    const [host, port] = announcement.address.split(':');
    this.host = host;
    this.port = Number(port);
    this.agent = this.createAgent(announcement.connections);
  }

  /**
   * Begins an exchange.
   *
   * @param options - Method, path, headers and signal.
   * @returns The outgoing request; nothing is written yet.
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
   * Leaves the present connections to their exchanges and opens new ones. The
   * old close when their exchange ends; both together stay under the limit.
   */
  replace(): void {
    const old = this.agent;
    old.maxFreeSockets = 0;
    for (const socket of socketsOf(old.freeSockets)) socket.destroy();
    const busy = socketsOf(old.sockets).length;
    const room = this.announcement.connections - busy;
    this.agent = this.createAgent(Math.max(1, room));
  }

  /** Closes every connection, those in use included. */
  destroy(): void {
    this.agent.destroy();
  }

  private createAgent(maxSockets: number): Agent {
    return new Agent({
      keepAlive: true,
      maxSockets,
      timeout: IDLE_TIMEOUT_MS,
      scheduling: 'lifo',
    });
  }
}

function socketsOf(byName: NodeJS.ReadOnlyDict<Socket[]>): Socket[] {
  return Object.values(byName).flatMap(sockets => sockets ?? []);
}
