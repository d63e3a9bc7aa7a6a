/** @fileoverview Finds the routes and tenants of callers' requests. */

import type {IncomingMessage} from 'node:http';

import {NO_COST_CLASS, costClassOf, failure} from '@jackdawfall/core';
import type {
  CostClass,
  Failure,
  Route,
  Tenant,
  Workspace,
} from '@jackdawfall/core';

import {areValidHeaders, isValidPath} from '../http/headers.js';
import type {CallerContext, CompiledConfiguration} from './context.js';
import type {PendingRequest} from './types.js';

/** A request's route and tenant, or why it is rejected before it is read. */
type MatchedRequest =
  | {
      readonly kind: 'matched';
      readonly target: Pick<
        PendingRequest,
        'route' | 'service' | 'slice' | 'headers' | 'tenant'
      >;
    }
  | {readonly kind: 'rejected'; readonly failure: Failure};

/**
 * Finds the route of a request and the tenant that sent it.
 *
 * @param context - The protocol for callers, and whether API keys are accepted.
 * @param configuration - The configuration in force.
 * @param configuration.router - Its routes.
 * @param configuration.tenants - Its tenants.
 * @param incoming - The request.
 * @returns The route and the tenant, or why the request is rejected.
 */
export function matchRequest(
  context: Pick<CallerContext, 'protocol' | 'acceptsApiKeys'>,
  {router, tenants}: CompiledConfiguration,
  incoming: IncomingMessage,
): MatchedRequest {
  const rejected = (failed: Failure) =>
    ({kind: 'rejected', failure: failed}) as const;
  const {protocol} = context;
  const path = incoming.url ?? '';
  const received = protocol.headersOf(incoming);
  if (!isValidPath(path) || !areValidHeaders(received)) {
    return rejected(failure('bad-request', 'not-run', 'invalid characters'));
  }
  if (incoming.httpVersion === '1.1' && incoming.headers.host === undefined) {
    return rejected(failure('bad-request', 'not-run', 'no host'));
  }
  const match = router.match(incoming.method ?? '', path, incoming.headers);
  if (match.kind !== 'matched') {
    return rejected(failure(match.kind, 'not-run', match.detail));
  }
  const {route, service, slice} = match;
  if (!tenants.isUsed) {
    const target = {route, service, slice, headers: received, tenant: null};
    return {kind: 'matched', target};
  }
  const apiKey = protocol.apiKeyOf(incoming);
  if (apiKey !== null && !context.acceptsApiKeys()) {
    const detail = 'the configuration was not confirmed in time';
    return rejected(failure('configuration-stale', 'not-run', detail));
  }
  const authentication = tenants.authenticate(route, apiKey);
  if (authentication.kind === 'unauthenticated') {
    return rejected(
      failure('unauthenticated', 'not-run', 'no tenant holds its API key'),
    );
  }
  const {tenant} = authentication;
  const headers = protocol.headersFor(received, tenant?.name ?? null);
  return {kind: 'matched', target: {route, service, slice, headers, tenant}};
}

/**
 * Returns the urgency of a request. That of a tenant takes precedence over that
 * of the route.
 *
 * @param request - The request.
 * @param request.route - Its route.
 * @param request.tenant - The tenant that sent it, or null.
 * @returns The urgency.
 */
export function urgencyOf({
  route,
  tenant,
}: {
  route: Route;
  tenant: Tenant | null;
}): number {
  return tenant?.urgency ?? route.urgency;
}

/**
 * Returns the class by which the run time of a request is estimated.
 *
 * @param workspace - The configuration in force.
 * @param route - The route of the request.
 * @param bodyBytes - Size of its body.
 * @returns The class; none unless the workspace schedules by cost.
 */
export function costClassIn(
  workspace: Pick<Workspace, 'scheduling'>,
  route: Route,
  bodyBytes: number,
): CostClass {
  return workspace.scheduling === 'cost'
    ? costClassOf(route, bodyBytes)
    : NO_COST_CLASS;
}
