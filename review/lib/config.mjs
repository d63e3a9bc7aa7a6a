/**
 * @fileoverview The operator's configuration of the cases: the routes and
 * services of a small site, each service with one route.
 */

const MAX_CONNECTIONS = 110;

/** Routes by kind of request, with the times of a small site. */
const KINDS = {
  order: {
    kind: 'non_idempotent',
    timeout_s: 1.5,
    target_latency_s: 0.6,
    priority: 1,
  },
  browse: {
    kind: 'idempotent',
    timeout_s: 1.2,
    target_latency_s: 0.5,
    priority: 2,
  },
  schedule: {
    kind: 'idempotent',
    timeout_s: 3,
    target_latency_s: 1.2,
    priority: 2,
  },
};

/**
 * Creates a configuration.
 *
 * @param routes - Kind of request of each route, with its host, prefix and
 *     service.
 * @returns The configuration as the operator writes it.
 */
export function configOf(routes) {
  const names = new Set(routes.map(each => each.service));
  return {
    version: 'r7',
    routes: routes.map(({request, host, prefix, service}, at) => ({
      name: `r-${at}`,
      host,
      prefix,
      ...KINDS[request],
      service,
      max_attempts: 2,
    })),
    services: [...names].map(name => ({
      name,
      health_check_path: '/health',
      max_connections: MAX_CONNECTIONS,
      protocol: 'h1',
      tls: false,
      cold_start_s: 3,
      cold_per_s: 9,
    })),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 67108864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
  };
}
