/**
 * @fileoverview Permits of one tenant, derived from its configured limits. The
 * load handled here: 80 tenants over 74 daemons, a few of them with 180 requests
 * a second and a burst of 180, the others far below.
 */

import type {Tuning} from '../settings/defaults.js';
import type {Tenant, Workspace} from '../workspace/types.js';
import type {TenantQuota} from './types.js';

const MS_PER_S = 1000;
/**
 * Part of the permitted excess over the quota that members may hold as unused
 * permits. The rest is for members without a share, and a safety margin for
 * requests that are under way when permits expire.
 */
const RESERVE_SHARE = 0.8;
/** Part of the permitted excess for members without a share. */
const EVEN_SHARE = 0.1;
/** Permits that members of a large fleet need to have one or two each. */
const FLEET_PERMITS = 150;
/** Time for which permits are held on the way from and to members. */
const HOLDING_MS = 1400;

/**
 * Computes how many requests of a tenant may be sent and run in any window.
 *
 * @param tenant - The tenant; its rate is not 0.
 * @param tuning - The window, in milliseconds, and the excess over the quota.
 * @returns The maximum number of requests in `quotaWindowMs`.
 */
export function maxInWindow(
  tenant: Pick<Tenant, 'ratePerSecond' | 'burst'>,
  tuning: Tuning['tenants'],
): number {
  const quota = quotaInWindow(tenant, tuning);
  return quota * (1 + tuning.quotaOverrun) + tuning.quotaSlack;
}

/**
 * Lists the tenants that have a limit.
 *
 * @param workspace - The configuration in force, or null.
 * @param tuning - Tuning of tenants.
 * @returns Their quotas, in the order of the configuration.
 */
export function quotasOf(
  workspace: Pick<Workspace, 'tenants'> | null,
  tuning: Tuning['tenants'],
): TenantQuota[] {
  const quotas: TenantQuota[] = [];
  for (const [index, tenant] of (workspace?.tenants ?? []).entries()) {
    if (tenant.ratePerSecond <= 0) continue;
    const {name, ratePerSecond, burst} = tenant;
    const quota = quotaInWindow(tenant, tuning);
    const excess = maxInWindow(tenant, tuning) - quota;
    const reserve = excess * RESERVE_SHARE;
    const held = Math.max(
      FLEET_PERMITS,
      (ratePerSecond * HOLDING_MS) / MS_PER_S,
    );
    quotas.push({
      tenant: name,
      index,
      ratePerSecond,
      burst,
      reserve,
      extra: Math.max(0, held - burst - reserve),
      maxInWindow: quota + reserve,
      evenPermits: excess * EVEN_SHARE,
    });
  }
  return quotas;
}

function quotaInWindow(
  {ratePerSecond, burst}: Pick<Tenant, 'ratePerSecond' | 'burst'>,
  {quotaWindowMs}: Tuning['tenants'],
): number {
  return (ratePerSecond * quotaWindowMs) / MS_PER_S + burst;
}
