/**
 * @fileoverview All links of one daemon. A link that the peer dialled is used
 * in both directions. All sends to a peer use the same link while it exists, so
 * messages arrive in order. When one link with a peer is lost, all of them
 * are dropped, and the next send opens a new one.
 */

import type * as grpc from '@grpc/grpc-js';
import type {Address, AttemptId, MemberId, Message} from '@jackdawfall/core';
import {PROTOCOL_VERSION} from '../codec/schemas.js';
import type {Hello} from '../codec/types.js';
import {Link} from './link.js';
import type {LinkLimits} from './link.js';
import {acceptStreams, dialStream} from './stream.js';
import type {FrameStream} from './stream.js';
import type {LinksOptions, SelfDescription} from './types.js';

/** Heartbeat intervals without a link after which a peer is forgotten. */
const FORGET_AFTER_INTERVALS = 240;

/** Time for the last frames before the server closes, in milliseconds. */
const SHUTDOWN_TIMEOUT_MS = 200;

/** What is known of a member with which links exist or existed. */
interface Peer {
  /** Oldest first; sends use the first one that has not ended. */
  links: Link[];
  /** Attempts of either side that have not ended. */
  readonly attempts: Set<AttemptId>;
  /**
   * Number of times that links with this peer were lost or closed here. Each
   * hello to the peer contains it, so that the peer drops links that no longer
   * exist on this side.
   */
  losses: number;
  /** The number of losses that the peer reported in its latest hello. */
  reportedLosses: number;
  /** Number of heartbeat intervals without a link. */
  idleIntervals: number;
}

/** The links of one daemon. */
export class Links {
  private self: SelfDescription;
  private readonly peers = new Map<MemberId, Peer>();
  /** Accepted links without a hello from their peer. */
  private readonly awaitingHello = new Set<Link>();
  private readonly limits: LinkLimits;
  private server: grpc.Server | null = null;
  private readonly ticker: NodeJS.Timeout;

  /** @param options - Identity, address, tuning and observer. */
  constructor(private readonly options: LinksOptions) {
    const {tuning, signal} = options;
    this.self = options.self;
    this.limits = {
      maxSilentIntervals: Math.ceil(tuning.silenceMs / tuning.heartbeatMs),
      maxIdleIntervals: Math.ceil(tuning.unusedMs / tuning.heartbeatMs),
      maxHandshakeIntervals: Math.ceil(
        tuning.connectTimeoutMs / tuning.heartbeatMs,
      ),
      queueBytes: tuning.queueBytes,
      batchBytes: tuning.batchBytes,
    };
    this.ticker = setInterval(() => this.tick(), tuning.heartbeatMs);
    signal.addEventListener('abort', () => this.close(), {once: true});
    if (signal.aborted) this.close();
  }

  /**
   * Starts accepting links.
   *
   * @returns The port.
   * @throws Error when the port can't be bound.
   */
  async listen(): Promise<number> {
    const {listen, signal} = this.options;
    const {server, port} = await acceptStreams(listen, stream =>
      this.acceptStream(stream),
    );
    this.server = server;
    if (signal.aborted) server.forceShutdown();
    return port;
  }

  /**
   * Sends a message over the current link with a member, or over a new one.
   *
   * @param to - The member.
   * @param address - Where the member accepts links.
   * @param message - The message.
   * @throws UnsendableMessage when it is too large for any frame.
   */
  send(to: MemberId, address: Address, message: Message): void {
    if (this.options.signal.aborted) return;
    const link = this.currentLink(to) ?? this.open(to, address);
    link.send(message);
  }

  /**
   * Returns whether a link with a member is open.
   *
   * @param to - The member.
   * @returns True while a link with it is open, whoever opened it.
   */
  isOpen(to: MemberId): boolean {
    return this.peers.get(to)?.links.some(isOpen) ?? false;
  }

  /**
   * Opens a link with a member unless there is one already.
   *
   * @param to - The member.
   * @param address - Where the member accepts links.
   */
  connect(to: MemberId, address: Address): void {
    if (this.options.signal.aborted) return;
    if (this.currentLink(to) === undefined) this.open(to, address);
  }

  /**
   * Returns the number of bytes queued for a member.
   *
   * @param to - The member.
   * @returns The bytes queued here or not yet accepted by its connection.
   */
  bufferedBytes(to: MemberId): number {
    return this.currentLink(to)?.bufferedBytes ?? 0;
  }

  /** @returns The number of bytes queued for all members. */
  get bufferedBytesOfAll(): number {
    let bytes = 0;
    for (const {links} of this.peers.values()) {
      for (const link of links) bytes += link.bufferedBytes;
    }
    return bytes;
  }

  /** @returns The number of links, those in their handshake included. */
  get size(): number {
    let size = this.awaitingHello.size;
    for (const peer of this.peers.values()) size += peer.links.length;
    return size;
  }

  /**
   * Changes this daemon's member id; links made under the old one are lost.
   *
   * @param member - This daemon's new member id.
   */
  setMemberId(member: MemberId): void {
    if (member === this.self.member) return;
    this.self = {...this.self, member};
    setImmediate(() => {
      for (const id of this.peers.keys()) this.lose(id, 'new member id');
    });
  }

  private currentLink(to: MemberId): Link | undefined {
    return this.peers.get(to)?.links.find(link => link.state !== 'ended');
  }

  private open(to: MemberId, address: Address): Link {
    const peer = this.peerOf(to);
    const link = new Link(dialStream(address), this.listener, this.limits, {
      peer: to,
      address,
    });
    attach(peer, link);
    link.sendHello(this.createHello(to, peer.losses));
    return link;
  }

  private acceptStream(stream: FrameStream): void {
    this.awaitingHello.add(new Link(stream, this.listener, this.limits, null));
  }

  private readonly listener = {
    helloReceived: (link: Link, hello: Hello) => this.handleHello(link, hello),
    messageReceived: (link: Link, message: Message) => {
      if (link.peer !== null) this.options.on.message(link.peer, message);
    },
    failed: (link: Link, reason: string) => this.handleFailure(link, reason),
    closedIdle: (link: Link) => this.handleIdleClose(link),
  };

  /**
   * Accepts a link, or returns the reason to refuse it. A peer that reports more
   * losses than before has lost or closed the links that are still open here, so
   * they are lost here as well.
   */
  private handleHello(link: Link, hello: Hello): string | null {
    this.awaitingHello.delete(link);
    const refusalReason = this.validateHello(link, hello);
    if (refusalReason !== null) return refusalReason;
    const peer = this.peerOf(hello.member);
    if (hello.losses > peer.reportedLosses && peer.links.some(isOpen)) {
      this.lose(hello.member, 'lost by the peer', link);
    }
    peer.reportedLosses = hello.losses;
    this.completeHandshake(link, hello, peer);
    return null;
  }

  /** Assigns an accepted link to its peer and sends this side's hello. */
  private completeHandshake(link: Link, hello: Hello, peer: Peer): void {
    const isFirst = !peer.links.some(isOpen);
    if (!link.dialled) {
      link.peer = hello.member;
      link.address = hello.address;
      attach(peer, link);
      link.sendHello(this.createHello('', peer.losses));
    }
    if (isFirst) this.options.on.opened(hello.member);
  }

  /** Returns a reason to refuse the link, or null. */
  private validateHello(link: Link, hello: Hello): string | null {
    if (hello.protocol !== PROTOCOL_VERSION) {
      return `protocol ${hello.protocol}`;
    }
    if (hello.workspace !== this.self.workspace) {
      return `workspace ${hello.workspace}`;
    }
    if (link.dialled && link.dialled.peer !== hello.member) {
      return `the peer is ${hello.member}`;
    }
    if (!link.dialled && hello.wanted !== this.self.member) {
      return `here is ${this.self.member}`;
    }
    return null;
  }

  private handleFailure(link: Link, reason: string): void {
    this.awaitingHello.delete(link);
    if (link.peer !== null) this.lose(link.peer, reason);
  }

  private handleIdleClose(link: Link): void {
    const peer = link.peer === null ? undefined : this.peers.get(link.peer);
    if (!peer) return;
    peer.links = peer.links.filter(other => other !== link);
    peer.losses += 1;
  }

  /** Drops all links with a peer but `except` and reports the loss. */
  private lose(id: MemberId, reason: string, except?: Link): void {
    const peer = this.peers.get(id);
    if (!peer || peer.links.length === 0) return;
    this.clear(peer, except);
    this.options.on.lost(id, reason);
  }

  private clear(peer: Peer, except?: Link): void {
    const links = peer.links;
    peer.links = links.filter(link => link === except);
    peer.attempts.clear();
    peer.losses += 1;
    for (const link of links) if (link !== except) link.destroy();
  }

  private tick(): void {
    for (const link of this.awaitingHello) link.tick();
    for (const [id, peer] of this.peers) {
      for (const link of [...peer.links]) link.tick();
      peer.idleIntervals = peer.links.length > 0 ? 0 : peer.idleIntervals + 1;
      if (peer.idleIntervals > FORGET_AFTER_INTERVALS) this.peers.delete(id);
    }
  }

  private peerOf(id: MemberId): Peer {
    const known = this.peers.get(id);
    if (known) return known;
    const peer = newPeer();
    this.peers.set(id, peer);
    return peer;
  }

  private createHello(wanted: string, losses: number): Hello {
    const {member, address, workspace} = this.self;
    return {
      kind: 'hello',
      protocol: PROTOCOL_VERSION,
      workspace,
      member,
      address,
      wanted,
      losses,
    };
  }

  private close(): void {
    clearInterval(this.ticker);
    for (const peer of this.peers.values()) {
      for (const link of peer.links) link.finish();
      peer.links = [];
    }
    for (const link of this.awaitingHello) link.destroy();
    this.awaitingHello.clear();
    setTimeout(() => this.server?.forceShutdown(), SHUTDOWN_TIMEOUT_MS);
  }
}

function newPeer(): Peer {
  return {
    links: [],
    attempts: new Set(),
    losses: 0,
    reportedLosses: 0,
    idleIntervals: 0,
  };
}

/** Adds a link to a peer; all its links share one set of open attempts. */
function attach(peer: Peer, link: Link): void {
  link.liveness.attempts = peer.attempts;
  peer.links.push(link);
}

function isOpen(link: Link): boolean {
  return link.state === 'open';
}
