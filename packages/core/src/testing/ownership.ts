/** @fileoverview A fixed view of ownership, for tests of other subjects. */

import type {
  Address,
  Generation,
  MemberId,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {
  OwnershipView,
  DispatchPermission,
  ServingMember,
} from '../ownership/types.js';

/** What the view says; fields may be changed between inputs. */
export interface StubOwnership {
  self: MemberId;
  version: number;
  /** Owner of every slice of every service. */
  owner: MemberId | null;
  moving: boolean;
  denied: Extract<DispatchPermission, {kind: 'denied'}>['reason'] | null;
  servers: MemberId[];
  ended: MemberId[];
}

/** Bound on in-flight work of a moving slice, in milliseconds. */
export const STUB_DRAIN_MS = 300;

/**
 * Describes a workspace in which one member owns and serves everything.
 *
 * @param self - The member under test.
 * @param owner - The owner and only server.
 * @returns The description.
 */
export function stubOwnership(self: MemberId, owner: MemberId) {
  const fixed: StubOwnership = {
    self,
    version: 1,
    owner,
    moving: false,
    denied: null,
    servers: [owner],
    ended: [],
  };
  return fixed;
}

/**
 * Answers the questions of other subjects from a description.
 *
 * @param fixed - The description; later changes show.
 * @returns The view.
 */
export function stubView(fixed: StubOwnership): OwnershipView {
  const permission = (): DispatchPermission =>
    fixed.denied === null
      ? {
          kind: 'granted',
          generation: 1 as Generation,
          until: {monotonic: Infinity, wall: Infinity},
        }
      : {kind: 'denied', reason: fixed.denied};
  return {
    get self() {
      return fixed.self;
    },
    get version() {
      return fixed.version as Version;
    },
    members: 1,
    workspace: {
      name: 'test' as never,
      version: 1,
      zones: [],
      services: [],
      routes: [],
      limits: {
        maxBodyBytes: 1,
        maxKeyBytes: 1,
        retryShare: 0.1,
        maxMovingSlices: 1,
        drainMs: STUB_DRAIN_MS,
        idleMs: 5000,
      },
    },
    placement: () => ({
      owner: fixed.owner,
      standby: null,
      generation: 1 as Generation,
      moving: fixed.moving,
    }),
    addressOf: member => `at ${member}` as Address,
    isEnded: member => fixed.ended.includes(member),
    mayDispatch: permission,
    mayServe: permission,
    serversOf: () => fixed.servers.map(serverOf),
  };
}

function serverOf(member: MemberId): ServingMember {
  const zone = 'a' as ZoneName;
  return {member, address: `at ${member}` as Address, zone, slots: 10};
}
