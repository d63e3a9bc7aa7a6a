/**
 * @fileoverview Finds entries of a valid workspace that have no effect or that
 * contradict each other, so that operators see them before they apply it.
 */

import type {Route, Tenant, Workspace} from './types.js';

/** An entry that is valid but can't have the effect that it states. */
export interface WorkspaceFinding {
  /**
   * `unreachable`: no request or server ever meets the entry. `contradiction`:
   * another value makes it void.
   */
  readonly kind: 'unreachable' | 'contradiction';
  /** Place in the document, for example `routes.3`. */
  readonly path: string;
  readonly message: string;
}

/** Characters that a Host header never contains. */
const NO_HOST = /[\s/?#@\\]/;
const REST = '/**';

/**
 * Finds entries without effect.
 *
 * @param workspace - A validated workspace.
 * @returns The findings, in the order of the document.
 */
export function findIneffectiveEntries(
  workspace: Workspace,
): readonly WorkspaceFinding[] {
  return [
    ...workspace.services.flatMap((_, index) =>
      findServiceFindings(workspace, index),
    ),
    ...workspace.routes.flatMap((_, index) =>
      findRouteFindings(workspace, index),
    ),
    ...findLimitFindings(workspace),
    ...findTenantFindings(workspace),
  ];
}

function findServiceFindings(
  {services, routes, limits}: Workspace,
  index: number,
): readonly WorkspaceFinding[] {
  const {name, division, serverLimits} = services[index];
  const path = `services.${index}`;
  const findings: WorkspaceFinding[] = [];
  if (!routes.some(route => targetsOf(route).includes(name))) {
    findings.push(unreachable(path, `no route leads to "${name}"`));
  }
  if (serverLimits?.coldPerSecond === 0) {
    const message = 'servers get no request while they are cold';
    findings.push(contradiction(`${path}.serverLimits.coldPerSecond`, message));
  }
  if (division.kind === 'shared' || division.keys === null) return findings;
  const {keys, slices} = division;
  if (slices > keys) {
    const message = `only ${keys} of ${slices} slices have a key`;
    findings.push(unreachable(`${path}.division.slices`, message));
  }
  const digits = String(keys - 1).length;
  if (digits > limits.maxKeyBytes) {
    const message = `keys of ${digits} digits are longer than limits.maxKeyBytes`;
    findings.push(contradiction(`${path}.division.keys`, message));
  }
  return findings;
}

function findRouteFindings(
  workspace: Workspace,
  index: number,
): readonly WorkspaceFinding[] {
  const route = workspace.routes[index];
  const path = `routes.${index}`;
  const findings: WorkspaceFinding[] = [];
  if (route.host !== null && NO_HOST.test(route.host)) {
    const message = `no Host header is "${route.host}"`;
    findings.push(unreachable(`${path}.host`, message));
  }
  if (isCovered(route, workspace.routes)) {
    const message =
      'other routes take precedence on every path that it matches';
    findings.push(unreachable(`${path}.path`, message));
  }
  if (route.objectiveMs > route.timeoutMs) {
    const message = `longer than the timeout of ${route.timeoutMs} ms`;
    findings.push(contradiction(`${path}.objectiveMs`, message));
  }
  if ((route.maxAttempts ?? 1) > 1 && workspace.limits.retryShare === 0) {
    const message = 'limits.retryShare of 0 allows no second attempt';
    findings.push(contradiction(`${path}.maxAttempts`, message));
  }
  return [...findings, ...findSplitFindings(route, path)];
}

function findSplitFindings(
  {split}: Route,
  path: string,
): readonly WorkspaceFinding[] {
  if (split.length === 0) return [];
  if (split.every(({weight}) => weight === 0)) {
    const message = 'all weights are 0, so the first service gets all requests';
    return [contradiction(`${path}.split`, message)];
  }
  return split.flatMap(({service, weight}, index) =>
    weight > 0
      ? []
      : [
          unreachable(
            `${path}.split.${index}`,
            `"${service}" has weight 0 and gets no request`,
          ),
        ],
  );
}

/**
 * Whether routes with the same host and method match every path of a route that
 * ends in `**` before it does: one for a single further segment and one for more.
 */
function isCovered(route: Route, routes: readonly Route[]): boolean {
  if (!route.path.endsWith(REST)) return false;
  const prefix = patternOf(route.path.slice(0, -REST.length));
  const patterns = routes
    .filter(
      each =>
        each.method === route.method &&
        each.host?.toLowerCase() === route.host?.toLowerCase(),
    )
    .map(({path}) => patternOf(path));
  return (
    patterns.includes(`${prefix}/{}`) &&
    patterns.includes(`${prefix}/{}${REST}`)
  );
}

function patternOf(path: string): string {
  return path.replace(/\{[^}]*\}/g, '{}');
}

function findLimitFindings({
  limits,
  routes,
}: Workspace): readonly WorkspaceFinding[] {
  const longestMs = Math.max(...routes.map(({timeoutMs}) => timeoutMs));
  if (limits.drainMs <= longestMs) return [];
  const message = `longer than the longest timeout of a route, ${longestMs} ms`;
  return [contradiction('limits.drainMs', message)];
}

function findTenantFindings({
  tenants,
  routes,
}: Workspace): readonly WorkspaceFinding[] {
  if (tenants === undefined) {
    return routes.flatMap((route, index) =>
      route.public === true
        ? [contradiction(`routes.${index}.public`, 'there are no tenants')]
        : [],
    );
  }
  const findings = tenants.flatMap(findQuotaFindings);
  const needsKey = routes.some(route => route.public !== true);
  if (needsKey && tenants.every(({keyDigests}) => keyDigests.length === 0)) {
    const message = 'no tenant has a key, so routes that need one reject all';
    findings.push(contradiction('tenants', message));
  }
  return findings;
}

function findQuotaFindings(
  {name, keyDigests, ratePerSecond, burst}: Tenant,
  index: number,
): WorkspaceFinding[] {
  const path = `tenants.${index}`;
  const findings: WorkspaceFinding[] = [];
  if (keyDigests.length === 0) {
    const message = `"${name}" has no key and can't send requests`;
    findings.push(unreachable(path, message));
  }
  if (ratePerSecond === 0 && burst > 0) {
    const message = 'a rate of 0 means no limit, so the burst has no effect';
    findings.push(contradiction(`${path}.burst`, message));
  }
  if (ratePerSecond > 0 && burst < 1) {
    const message = 'less than one request';
    findings.push(contradiction(`${path}.burst`, message));
  }
  return findings;
}

function targetsOf({service, split}: Route): readonly string[] {
  return split.length === 0 ? [service] : split.map(each => each.service);
}

function unreachable(path: string, message: string): WorkspaceFinding {
  return {kind: 'unreachable', path, message};
}

function contradiction(path: string, message: string): WorkspaceFinding {
  return {kind: 'contradiction', path, message};
}
