/**
 * @fileoverview Pool of keep-alive connections to the local backend server.
 * When one of them becomes unresponsive, all are replaced.
 */

import {Agent, request} from 'node:http';
import type {AgentOptions, ClientRequest, RequestOptions} from 'node:http';
import {Socket, connect} from 'node:net';
import type {Duplex} from 'node:stream';

import type {Announcement} from '@jackdawfall/core';

import {ProcessWatch} from './process_watch.js';

const IDLE_TIMEOUT_MS = 30_000;

/** Reports each connection that is being opened. */
class TrackingAgent extends Agent {
  constructor(
    options: AgentOptions,
    private readonly onOpening: (socket: Socket) => void,
  ) {
    super(options);
  }

  override createConnection(
    ...args: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(...args);
    if (socket instanceof Socket) this.onOpening(socket);
    return socket;
  }
}

/** Closes an idle connection on which anything arrives: it belongs to nothing. */
class IdleGuardAgent extends TrackingAgent {
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
  private readonly unsharedAgent: Agent;
  private readonly host: string;
  private readonly port: number;
  private readonly watch: ProcessWatch;

  /**
   * @param announcement - Announcement of the backend server.
   * @param onRefused - Called when nothing listens at its address, with whether
   *     its process is known to be alive nevertheless.
   */
  constructor(
    private readonly announcement: Announcement,
    onRefused: (isAlive: boolean) => void = () => undefined,
  ) {
    const [host, port] = announcement.address.split(':');
    this.host = host;
    this.port = Number(port);
    this.watch = new ProcessWatch({
      connect: () => connect(this.port, this.host),
      onRefused,
    });
    this.agent = this.createAgent(announcement.connections);
    this.unsharedAgent = new TrackingAgent({keepAlive: false}, socket =>
      this.watch.track(socket),
    );
  }

  /**
   * Returns whether the pool leads to the server of an announcement.
   *
   * @param announcement - The announcement.
   * @returns False if the server needs another pool.
   */
  serves(announcement: Announcement): boolean {
    const {address, instance, connections} = this.announcement;
    return (
      address === announcement.address &&
      instance === announcement.instance &&
      connections === announcement.connections
    );
  }

  /** Records that the server's process has just announced itself. */
  confirmProcess(): void {
    this.watch.confirm();
  }

  /**
   * Returns whether a request goes to the process that announced itself. A
   * successor at the same address may take its connection meanwhile.
   *
   * @param outgoing - A request whose connection is open.
   * @returns False if another process may receive it.
   */
  reachesProcess(outgoing: ClientRequest): boolean {
    // Only servers that check grants hold slices that the next process may not.
    if (!this.announcement.checksGrants) return true;
    return this.watch.reaches(outgoing.socket);
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
    const {host, port, unsharedAgent: agent} = this;
    return request({...options, host, port, agent});
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

  /** Ends its use for a server that is replaced or lost, but no request. */
  retire(): void {
    this.useNewConnections();
    this.watch.close();
  }

  /** Closes all connections, including those in use. */
  destroy(): void {
    this.agent.destroy();
    this.unsharedAgent.destroy();
    this.watch.close();
  }

  private createAgent(maxSockets: number): Agent {
    return new IdleGuardAgent(
      {
        keepAlive: true,
        maxSockets,
        timeout: IDLE_TIMEOUT_MS,
        scheduling: 'lifo',
      },
      socket => this.watch.track(socket),
    );
  }
}

function socketsOf(socketsByName: NodeJS.ReadOnlyDict<Socket[]>): Socket[] {
  return Object.values(socketsByName).flatMap(sockets => sockets ?? []);
}
