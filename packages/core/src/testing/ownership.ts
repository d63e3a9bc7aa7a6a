/** @fileoverview Stub of the ownership view, for tests of other subsystems. */

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
import type {Scheduling, Workspace} from '../workspace/types.js';

/** Contents of the view; tests may change the fields between inputs. */
export interface StubOwnership {
  self: MemberId;
  version: number;
  /** Owner of every slice of every service. */
  owner: MemberId | null;
  moving: boolean;
  /** Reason for which permissions are denied, or null to grant them. */
  denied: Extract<DispatchPermission, {kind: 'denied'}>['reason'] | null;
  servers: MemberId[];
  ended: MemberId[];
  /** Whether a configuration is in force. */
  configured: boolean;
  /** What scheduling goes by in that configuration. */
  scheduling: Scheduling;
}

/** Time limit for in-flight work of a moving slice, in milliseconds. */
export const STUB_DRAIN_MS = 300;

const WORKSPACE: Workspace = {
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
};

/**
 * Creates the contents for a workspace in which one member owns every slice.
 *
 * @param self - The member under test.
 * @param owner - The owner and only server.
 * @returns The contents.
 */
export function stubOwnership(self: MemberId, owner: MemberId) {
  const stub: StubOwnership = {
    self,
    version: 1,
    owner,
    moving: false,
    denied: null,
    servers: [owner],
    ended: [],
    configured: true,
    scheduling: 'count',
  };
  return stub;
}

/**
 * Creates an ownership view of the contents.
 *
 * @param stub - The contents; the view follows later changes.
 * @returns The view.
 */
export function stubView(stub: StubOwnership): OwnershipView {
  const permission = (): DispatchPermission =>
    stub.denied === null
      ? {
          kind: 'granted',
          generation: 1 as Generation,
          until: {monotonic: Infinity, wall: Infinity},
        }
      : {kind: 'denied', reason: stub.denied};
  return {
    get self() {
      return stub.self;
    },
    get version() {
      return stub.version as Version;
    },
    members: 1,
    departedServer: null,
    get workspace() {
      const {scheduling} = stub;
      return stub.configured ? {...WORKSPACE, scheduling} : null;
    },
    placement: () => ({
      owner: stub.owner,
      standby: null,
      generation: 1 as Generation,
      moving: stub.moving,
    }),
    addressOf: member => `at ${member}` as Address,
    sourceWatchDelayMs: () => 0,
    isEnded: member => stub.ended.includes(member),
    mayDispatch: permission,
    mayServe: permission,
    serversOf: () => stub.servers.map(serverOf),
  };
}

function serverOf(member: MemberId): ServingMember {
  const zone = 'a' as ZoneName;
  return {member, address: `at ${member}` as Address, zone, slots: 10};
}
