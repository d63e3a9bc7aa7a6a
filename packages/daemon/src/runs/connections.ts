/**
 * @fileoverview Connections to the backend server beside this daemon. They
 * are reused; when one of them goes silent, none of the old is used again.
 */

import {Agent, request} from 'node:http';
import type {ClientRequest, RequestOptions} from 'node:http';

import type {Announcement} from '@jackdawfall/core';

const IDLE_TIMEOUT_MS = 30_000;

/** Reusable connections, at most as many as the server accepts. */
export class Connections {
  private agent: Agent;
  private readonly host: string;
  private readonly port: number;

  /** @param announcement - What the backend server says of itself. */
  constructor(private readonly announcement: Announcement) {
    const [host, port] = announcement.address.split(':');
    this.host = host;
    this.port = Number(port);
    this.agent = this.createAgent();
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

  /** Leaves the present connections to their exchanges and opens new ones. */
  replace(): void {
    const old = this.agent;
    this.agent = this.createAgent();
    for (const sockets of Object.values(old.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Closes every connection, those in use included. */
  destroy(): void {
    this.agent.destroy();
  }

  private createAgent(): Agent {
    return new Agent({
      keepAlive: true,
      maxSockets: this.announcement.connections,
      timeout: IDLE_TIMEOUT_MS,
      scheduling: 'lifo',
    });
  }
}
