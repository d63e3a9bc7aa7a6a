/** @fileoverview One daemon's copy of a small ownership map. */

import type {
  Address,
  Generation,
  Instant,
  MemberId,
  OwnershipView,
  DispatchPermission,
  ServiceName,
  Slice,
  Version,
  Workspace,
  ZoneName,
} from '@jackdawfall/core';
import {DEFAULT_TUNING} from '@jackdawfall/core';

/** The one service of the experiments; its division depends on the request. */
export const SERVICE = 'service' as ServiceName;
/** Slices of the service. */
export const SLICES = 6;
/** Bound on in-flight work of a moving slice, in milliseconds. */
export const DRAIN_MS = 300;

/** A change of the map. */
export type Change =
  | {readonly kind: 'ended'; readonly member: MemberId}
  | {readonly kind: 'moving'; readonly slice: number}
  | {readonly kind: 'moved'; readonly slice: number; readonly to: MemberId};

interface Held {
  owner: MemberId;
  generation: number;
  moving: boolean;
}

const WORKSPACE: Workspace = {
  name: 'experiment' as Workspace['name'],
  version: 1,
  zones: [],
  services: [],
  routes: [],
  limits: {
    maxBodyBytes: 1,
    maxKeyBytes: 1,
    retryShare: 0.1,
    maxMovingSlices: 1,
    drainMs: DRAIN_MS,
    idleMs: 5000,
  },
};

/** The copy; changes are applied in the order of the log. */
export class MapCopy implements OwnershipView {
  readonly workspace = WORKSPACE;
  version = 1 as Version;
  /** Whether this daemon's lease holds. */
  hasLease: (at: Instant) => boolean = () => true;
  private readonly slices: Held[] = [];
  private readonly ended = new Set<MemberId>();

  /**
   * @param self - The daemon whose copy this is.
   * @param daemons - All daemons; each has a server.
   */
  constructor(
    readonly self: MemberId,
    private readonly daemons: readonly MemberId[],
  ) {
    for (let slice = 0; slice < SLICES; slice++) {
      const owner = daemons[slice % daemons.length];
      this.slices.push({owner, generation: 1, moving: false});
    }
  }

  /** @returns Daemons that have not ended. */
  get members(): number {
    return this.daemons.length - this.ended.size;
  }

  /**
   * Applies the next change.
   *
   * @param change - The change.
   */
  apply(change: Change): void {
    this.version = (this.version + 1) as Version;
    switch (change.kind) {
      case 'ended':
        this.end(change.member);
        return;
      case 'moving':
        this.slices[change.slice].moving = true;
        return;
      case 'moved':
        if (this.ended.has(change.to)) return;
        this.slices[change.slice] = {
          owner: change.to,
          generation: this.slices[change.slice].generation + 1,
          moving: false,
        };
        return;
    }
  }

  placement(_service: ServiceName, slice: Slice) {
    const {owner, generation, moving} = this.slices[slice];
    const standby = null;
    return {owner, standby, generation: generation as Generation, moving};
  }

  addressOf(member: MemberId): Address {
    return `at ${member}` as Address;
  }

  isEnded(member: MemberId): boolean {
    return this.ended.has(member);
  }

  mayDispatch(
    _service: ServiceName,
    slice: Slice,
    at: Instant,
  ): DispatchPermission {
    const {owner, moving} = this.slices[slice];
    if (owner !== this.self) return {kind: 'denied', reason: 'not-owner'};
    if (moving) return {kind: 'denied', reason: 'moving'};
    return this.mayServe(at);
  }

  mayServe(at: Instant): DispatchPermission {
    const lost = this.ended.has(this.self) || !this.hasLease(at);
    if (lost) return {kind: 'denied', reason: 'no-lease'};
    const generation = 1 as Generation;
    return {kind: 'granted', generation, until: at};
  }

  serversOf() {
    const live = this.daemons.filter(member => !this.ended.has(member));
    return live.map(member => ({
      member,
      address: this.addressOf(member),
      zone: 'a' as ZoneName,
      slots: DEFAULT_TUNING.admission.queueFactor,
    }));
  }

  private end(member: MemberId): void {
    this.ended.add(member);
    const live = this.daemons.filter(other => !this.ended.has(other));
    this.slices.forEach((held, slice) => {
      if (held.owner !== member || live.length === 0) return;
      held.owner = live[slice % live.length];
      held.generation += 1;
      held.moving = false;
    });
  }
}
