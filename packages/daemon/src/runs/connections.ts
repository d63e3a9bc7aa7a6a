/**
 * @fileoverview Pool of keep-alive connections to the local backend server.
 * When one of them becomes unresponsive, all are replaced.
 */

import {Agent, request} from 'node:http';
import type {AgentOptions, ClientRequest, RequestOptions} from 'node:http';
import {Socket, connect} from 'node:net';
import type {Duplex} from 'node:stream';

import {MAX_CALLS_UNDER_WAY} from '@jackdawfall/core';
import type {Announcement} from '@jackdawfall/core';

import {ProcessWatch} from './process_watch.js';

const IDLE_TIMEOUT_MS = 30_000;
/** Connections without requests; there are two while one is replaced. */
const IDLE_CONNECTIONS = 2;

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
  announcements = 0;
  private agent: Agent;
  private readonly callAgent: Agent;
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
    private announcement: Announcement,
    onRefused: (isAlive: boolean) => void = () => undefined,
  ) {
    const [host, port] = announcement.address.split(':');
    this.host = host;
    this.port = Number(port);
    this.watch = new ProcessWatch({
      connect: () => connect(this.port, this.host),
      onRefused,
    });
    this.agent = this.createAgent(this.sharedLimit);
    const callLimit = Math.ceil(
      (reservedIn(announcement) - IDLE_CONNECTIONS) / 2,
    );
    const maxSockets = Math.max(1, callLimit);
    const track = (socket: Socket): void => this.watch.track(socket);
    this.callAgent = createKeptAgent(maxSockets, track);
    this.unsharedAgent = new TrackingAgent(
      {keepAlive: false, maxSockets},
      track,
    );
  }

  /**
   * Returns whether the pool leads to the server of an announcement.
   *
   * @param announcement - The announcement.
   * @returns False if the server needs another pool.
   */
  serves(announcement: Announcement): boolean {
    const {address, instance} = this.announcement;
    return (
      address === announcement.address && instance === announcement.instance
    );
  }

  /**
   * Changes the limit of connections, if it is another one.
   *
   * @param connections - The new limit.
   */
  resize(connections: number): void {
    if (connections === this.announcement.connections) return;
    this.announcement = {...this.announcement, connections};
    this.useNewConnections();
  }

  /** Records that the server's process has just announced itself. */
  confirmProcess(): void {
    this.announcements += 1;
    this.watch.confirm();
  }

  /** @returns Whether a call may reach the process that announced itself. */
  mayReachProcess(): boolean {
    const {watch, announcement} = this;
    return !announcement.checksGrants || watch.isAlive || watch.isOpening;
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
   * Starts a request on a kept connection that no attempts use.
   *
   * @param options - Method, path, headers and signal.
   * @returns The outgoing request, of which nothing has been written.
   */
  openCall(options: RequestOptions): ClientRequest {
    const {host, port, callAgent: agent} = this;
    return request({...options, host, port, agent});
  }

  /**
   * Starts a request on a connection of its own, which closes afterwards.
   *
   * @param options - Method, path, headers and signal.
   * @returns The outgoing request, of which nothing has been written.
   */
  openUnshared(options: RequestOptions): ClientRequest {
    const {host, port, unsharedAgent: agent} = this;
    const outgoing = request({...options, host, port, agent});
    outgoing.shouldKeepAlive = false;
    return outgoing;
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
    const remaining = this.sharedLimit - busy;
    this.agent = this.createAgent(Math.max(1, remaining));
  }

  /**
   * Ends its use for a server that is replaced: attempts go on, but calls are
   * aborted, since the next one must not get them.
   */
  retire(): void {
    this.useNewConnections();
    this.callAgent.destroy();
    this.unsharedAgent.destroy();
    this.watch.close();
  }

  /** Closes all connections, including those in use. */
  destroy(): void {
    this.agent.destroy();
    this.callAgent.destroy();
    this.unsharedAgent.destroy();
    this.watch.close();
  }

  /** Limit of the connections that requests share. */
  private get sharedLimit(): number {
    const {announcement} = this;
    return Math.max(1, announcement.connections - reservedIn(announcement));
  }

  private createAgent(maxSockets: number): Agent {
    return createKeptAgent(maxSockets, socket =>
      this.watch.watchRefusal(socket),
    );
  }
}

/** Creates an agent that uses the connection again that was idle last. */
function createKeptAgent(
  maxSockets: number,
  onOpening: (socket: Socket) => void,
): Agent {
  return new IdleGuardAgent(
    {
      keepAlive: true,
      maxSockets,
      timeout: IDLE_TIMEOUT_MS,
      scheduling: 'lifo',
    },
    onOpening,
  );
}

/**
 * Returns how many connections are kept free of requests, for calls about slices
 * and for knowing whether the server's process is alive.
 */
function reservedIn({checksGrants, connections}: Announcement): number {
  if (!checksGrants) return 0;
  const most = 2 * MAX_CALLS_UNDER_WAY + IDLE_CONNECTIONS;
  return Math.min(most, Math.max(2, Math.floor(connections / 2)));
}

function socketsOf(socketsByName: NodeJS.ReadOnlyDict<Socket[]>): Socket[] {
  return Object.values(socketsByName).flatMap(sockets => sockets ?? []);
}
