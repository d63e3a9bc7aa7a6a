/**
 * @fileoverview All links of one daemon. A peer that dialled is answered on
 * its own stream. Sends stay on one link while it lives, so that messages to
 * a peer arrive in order; when any link with a peer is lost, all of them are,
 * and the next send opens a new one.
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

/** Heartbeat turns for which the losses with a peer are remembered. */
const REMEMBERED_TURNS = 240;

/** Time a stopping daemon gives its last frames, in milliseconds. */
const FAREWELL_MS = 200;

interface Peer {
  /** Oldest first; sends go to the first that is not ended. */
  links: Link[];
  /** Attempts that either side waits for. */
  readonly attempts: Set<AttemptId>;
  /** How often links with this peer were lost or closed here. */
  losses: number;
  /** The losses that the peer told with its latest hello. */
  lossesTold: number;
  idleTurns: number;
}

/** The links of one daemon. */
export class Links {
  private self: SelfDescription;
  private readonly peers = new Map<MemberId, Peer>();
  /** Accepted links whose peer has not said who it is. */
  private readonly strangers = new Set<Link>();
  private readonly limits: LinkLimits;
  private server: grpc.Server | null = null;
  private readonly beats: NodeJS.Timeout;

  /** @param options - Who this is, where it listens and whom to tell. */
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
    this.beats = setInterval(() => this.beat(), tuning.heartbeatMs);
    signal.addEventListener('abort', () => this.close(), {once: true});
    if (signal.aborted) this.close();
  }

  /**
   * Starts to accept links.
   *
   * @returns The port.
   * @throws Error when the port can't be had.
   */
  async listen(): Promise<number> {
    const {listen, signal} = this.options;
    const {server, port} = await acceptStreams(listen, stream =>
      this.admit(stream),
    );
    this.server = server;
    if (signal.aborted) server.forceShutdown();
    return port;
  }

  /**
   * Sends a message, over a new link if there is none.
   *
   * @param to - The member.
   * @param address - Where that member accepts links.
   * @param message - The message.
   * @throws UnsendableMessage when it is too large for any frame.
   */
  send(to: MemberId, address: Address, message: Message): void {
    if (this.options.signal.aborted) return;
    const link = this.current(to) ?? this.open(to, address);
    link.send(message);
  }

  /**
   * Tells whether messages can be handed to a member now.
   *
   * @param to - The member.
   * @returns True while a link with it is open, whoever opened it.
   */
  isOpen(to: MemberId): boolean {
    return this.peers.get(to)?.links.some(isOpen) ?? false;
  }

  /**
   * Opens a link with a member unless one is open or opening.
   *
   * @param to - The member.
   * @param address - Where that member accepts links.
   */
  connect(to: MemberId, address: Address): void {
    if (this.options.signal.aborted) return;
    if (this.current(to) === undefined) this.open(to, address);
  }

  /**
   * Drops the links with a member without a report; the next send opens a
   * new one.
   *
   * @param to - The member.
   */
  drop(to: MemberId): void {
    const peer = this.peers.get(to);
    if (!peer || peer.links.length === 0) return;
    this.clear(peer);
  }

  /**
   * Tells how much waits for a member.
   *
   * @param to - The member.
   * @returns Bytes that its connection has not taken.
   */
  bufferedBytes(to: MemberId): number {
    return this.current(to)?.bufferedBytes ?? 0;
  }

  /**
   * Tells whether a member keeps up with what is sent to it.
   *
   * @param to - The member.
   * @returns False while more waits than one body may have in flight.
   */
  isWritable(to: MemberId): boolean {
    return this.bufferedBytes(to) < this.options.tuning.windowBytes;
  }

  /** @returns The number of links, opening ones included. */
  get size(): number {
    let size = this.strangers.size;
    for (const peer of this.peers.values()) size += peer.links.length;
    return size;
  }

  /**
   * Takes a new identity: links made under the old one are lost.
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

  private current(to: MemberId): Link | undefined {
    return this.peers.get(to)?.links.find(link => link.state !== 'ended');
  }

  private open(to: MemberId, address: Address): Link {
    const peer = this.peerOf(to);
    const link = new Link(dialStream(address), this.owner, this.limits, {
      peer: to,
      address,
    });
    join(peer, link);
    link.sendHello(this.hello(to, peer.losses));
    return link;
  }

  private admit(stream: FrameStream): void {
    this.strangers.add(new Link(stream, this.owner, this.limits, null));
  }

  private readonly owner = {
    greeted: (link: Link, hello: Hello) => this.greeted(link, hello),
    received: (link: Link, message: Message) => {
      if (link.peer !== null) this.options.on.message(link.peer, message);
    },
    ended: (link: Link, reason: string) => this.ended(link, reason),
    retired: (link: Link) => this.retired(link),
  };

  private greeted(link: Link, hello: Hello): string | null {
    this.strangers.delete(link);
    const objection = this.objection(link, hello);
    if (objection !== null) return objection;
    const peer = this.peerOf(hello.member);
    if (hello.losses > peer.lossesTold && peer.links.some(isOpen)) {
      this.lose(hello.member, 'lost by the peer', link);
    }
    peer.lossesTold = hello.losses;
    this.adopt(link, hello, peer);
    return null;
  }

  private adopt(link: Link, hello: Hello, peer: Peer): void {
    const first = !peer.links.some(isOpen);
    if (!link.dialled) {
      link.peer = hello.member;
      link.address = hello.address;
      join(peer, link);
      link.sendHello(this.hello('', peer.losses));
    }
    if (first) this.options.on.opened(hello.member);
  }

  private objection(link: Link, hello: Hello): string | null {
    if (hello.protocol !== PROTOCOL_VERSION) {
      return `protocol ${hello.protocol}`;
    }
    if (hello.workspace !== this.self.workspace) {
      return `workspace ${hello.workspace}`;
    }
    if (link.dialled && link.dialled.peer !== hello.member) {
      return `answered by ${hello.member}`;
    }
    if (!link.dialled && hello.wanted !== this.self.member) {
      return `here is ${this.self.member}`;
    }
    return null;
  }

  private ended(link: Link, reason: string): void {
    this.strangers.delete(link);
    if (link.peer !== null) this.lose(link.peer, reason);
  }

  private retired(link: Link): void {
    const peer = link.peer === null ? undefined : this.peers.get(link.peer);
    if (!peer) return;
    peer.links = peer.links.filter(other => other !== link);
    peer.losses += 1;
  }

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

  private beat(): void {
    for (const link of this.strangers) link.tick();
    for (const [id, peer] of this.peers) {
      for (const link of [...peer.links]) link.tick();
      peer.idleTurns = peer.links.length > 0 ? 0 : peer.idleTurns + 1;
      if (peer.idleTurns > REMEMBERED_TURNS) this.peers.delete(id);
    }
  }

  private peerOf(id: MemberId): Peer {
    const known = this.peers.get(id);
    if (known) return known;
    const peer = newPeer();
    this.peers.set(id, peer);
    return peer;
  }

  private hello(wanted: string, losses: number): Hello {
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
    clearInterval(this.beats);
    for (const peer of this.peers.values()) {
      for (const link of peer.links) link.finish();
      peer.links = [];
    }
    for (const link of this.strangers) link.destroy();
    this.strangers.clear();
    setTimeout(() => this.server?.forceShutdown(), FAREWELL_MS);
  }
}

function newPeer(): Peer {
  return {
    links: [],
    attempts: new Set(),
    losses: 0,
    lossesTold: 0,
    idleTurns: 0,
  };
}

function join(peer: Peer, link: Link): void {
  link.liveness.attempts = peer.attempts;
  peer.links.push(link);
}

function isOpen(link: Link): boolean {
  return link.state === 'open';
}
