/** @fileoverview Views of quotas: for routing, for operators, and of members. */

import type {Instant} from '../clock/types.js';
import type {MemberId} from '../ids/types.js';
import {currentLease} from '../leases/logic.js';
import type {ClusterMap} from '../map/types.js';
import type {OwnershipState} from '../ownership/state.js';
import {accountFigures} from './divider.js';
import {admitRequest, giveBackPermit, permitsLeft} from './holder.js';
import type {QuotaGate, QuotaMembership, QuotaState} from './types.js';

/** Figures of quotas at one daemon, over all tenants. */
export interface QuotaFigures {
  readonly admitted: number;
  readonly rejected: number;
  readonly permitsHeld: number;
  readonly divides: boolean;
}

/**
 * Creates the view of the membership that quotas need.
 *
 * @param state - State of ownership.
 * @returns The view; it reads the state at each call.
 */
export function createQuotaMembership(state: OwnershipState): QuotaMembership {
  let listedMap: ClusterMap | null = null;
  let listedChanges = -1;
  let members: readonly MemberId[] = [];
  return {
    get self() {
      return state.map.members.has(state.self) ? state.self : null;
    },
    get members() {
      const {map} = state;
      if (listedMap !== map || listedChanges !== map.membershipChanges) {
        listedMap = map;
        listedChanges = map.membershipChanges;
        members = [...map.members.keys()];
      }
      return members;
    },
    get hasFormerMembers() {
      return state.map.ended.size > 0;
    },
    get workspace() {
      return state.map.configuration?.workspace ?? null;
    },
    get configuration() {
      return state.map.configuration?.number ?? 0;
    },
    addressOf: member => state.map.members.get(member)?.address ?? null,
    holdsLease(at) {
      if (state.phase !== 'joined' && state.phase !== 'stopping') return false;
      return currentLease(state, at).source !== 'none';
    },
  };
}

/**
 * Creates what routing asks about requests of tenants.
 *
 * @param state - State of quotas.
 * @param membership - The membership.
 * @returns The gate; it reads the state at each call.
 */
export function createQuotaGate(
  state: QuotaState,
  membership: QuotaMembership,
): QuotaGate {
  return {
    admit: (tenant, at) =>
      admitRequest(state, tenant, at, membership.holdsLease(at)),
    giveBack: (tenant, admittedAt) =>
      giveBackPermit(state.holder, tenant, admittedAt),
  };
}

/**
 * Computes the figures for metrics.
 *
 * @param state - State of quotas.
 * @param at - The current time.
 * @returns Sums over all tenants.
 */
export function quotaFiguresOf(state: QuotaState, at: Instant): QuotaFigures {
  const {holder, divider} = state;
  let permitsHeld = 0;
  for (const usage of holder.usage.values()) {
    permitsHeld += permitsLeft(usage, at);
  }
  return {
    admitted: holder.admittedTotal,
    rejected: holder.rejectedTotal,
    permitsHeld,
    divides: divider.self !== null,
  };
}

/**
 * Renders quotas for operators.
 *
 * @param state - State of quotas.
 * @returns A plain value, by tenant.
 */
export function renderQuotas(state: QuotaState): unknown {
  const {holder, divider, quotas} = state;
  const tenants = [...quotas.keys()].map(tenant => {
    const usage = holder.usage.get(tenant);
    return {
      tenant,
      admitted: usage?.admitted ?? 0,
      limit: usage?.allowance?.limit ?? 0,
      offeredPerSecond: usage?.offeredPerSecond ?? 0,
      account: accountFigures(divider, tenant),
    };
  });
  return {divider: holder.divider, divides: divider.self !== null, tenants};
}
