/** @fileoverview A daemon's copy of a small ownership map. */

import type {
  Address,
  Generation,
  Instant,
  MemberId,
  OwnershipView,
  DispatchPermission,
  Scheduling,
  ServiceName,
  Slice,
  Version,
  Workspace,
  ZoneName,
} from '@jackdawfall/core';
import {DEFAULT_TUNING} from '@jackdawfall/core';

/** The only service; a request may use it as a keyed or a shared one. */
export const SERVICE = 'service' as ServiceName;
/** Slices of the service. */
export const SLICES = 6;
/** Time that requests in flight have to end when a slice moves. */
export const DRAIN_MS = 300;

/** A change of the map. */
export type MapChange =
  | {readonly kind: 'ended'; readonly member: MemberId}
  | {readonly kind: 'moving'; readonly slice: number}
  | {readonly kind: 'moved'; readonly slice: number; readonly to: MemberId};

/** The state of one slice. */
interface SliceState {
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

/** The copy, to which changes are applied in the order of their commits. */
export class MapCopy implements OwnershipView {
  readonly workspace: Workspace;
  readonly departedServer = null;
  version = 1 as Version;
  /** Whether this daemon holds a valid lease. */
  hasLease: (at: Instant) => boolean = () => true;
  private readonly slices: SliceState[] = [];
  private readonly ended = new Set<MemberId>();

  /**
   * @param self - The daemon whose copy this is.
   * @param daemons - All daemons; each has a server.
   * @param scheduling - What placement and queueing go by.
   * @param slots - Concurrent runs of each server, as members announce them.
   */
  constructor(
    readonly self: MemberId,
    private readonly daemons: readonly MemberId[],
    scheduling: Scheduling = 'count',
    private readonly slots: number = DEFAULT_TUNING.admission.queueFactor,
  ) {
    this.workspace = {...WORKSPACE, scheduling};
    for (let slice = 0; slice < SLICES; slice++) {
      const owner = daemons[slice % daemons.length];
      this.slices.push({owner, generation: 1, moving: false});
    }
  }

  /** @returns The number of daemons that are members. */
  get members(): number {
    return this.daemons.length - this.ended.size;
  }

  /**
   * Applies the next change.
   *
   * @param change - The change.
   */
  apply(change: MapChange): void {
    this.version = (this.version + 1) as Version;
    switch (change.kind) {
      case 'ended':
        this.endMember(change.member);
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

  sourceWatchDelayMs(): number {
    return 0;
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
    const isUnleased = this.ended.has(this.self) || !this.hasLease(at);
    if (isUnleased) return {kind: 'denied', reason: 'no-lease'};
    const generation = 1 as Generation;
    return {kind: 'granted', generation, until: at};
  }

  serversOf() {
    const live = this.daemons.filter(member => !this.ended.has(member));
    return live.map(member => ({
      member,
      address: this.addressOf(member),
      zone: 'a' as ZoneName,
      slots: this.slots,
    }));
  }

  private endMember(member: MemberId): void {
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
