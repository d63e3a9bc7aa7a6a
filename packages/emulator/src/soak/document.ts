/** @fileoverview Configuration documents for simulated clusters. */

/**
 * Makes a configuration with one keyed service.
 *
 * @param slices - Slices of the service.
 * @param mark - Number that makes documents differ; part of a timeout.
 * @returns JSON text.
 */
export function makeConfiguration(slices: number, mark: number): string {
  return JSON.stringify({
    name: 'w',
    version: 0,
    zones: ['a', 'b', 'c'],
    services: [
      {
        name: 'finder',
        division: {kind: 'keyed', slices, key: {from: 'path', name: 'key'}},
        upstreams: 4,
      },
    ],
    routes: [
      {
        method: 'GET',
        path: '/finder/{key}',
        service: 'finder',
        idempotent: true,
        priority: 'interactive',
        timeoutMs: 1000 + mark,
      },
    ],
    limits: {
      maxBodyBytes: 65536,
      maxKeyBytes: 256,
      retryShare: 0.1,
      maxMovingSlices: 4,
      drainMs: 500,
    },
  });
}
