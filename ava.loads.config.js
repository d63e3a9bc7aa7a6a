/**
 * Tests that load the machine: crowds of clients at real processes, and long
 * simulations of fleets. They run one file at a time, after all others.
 */
export default {
  files: [
    'packages/emulator/dist/deployment/unfinished_bodies.spec.js',
    'packages/core/dist/quotas/fleet.spec.js',
    'packages/emulator/dist/soak/restores.spec.js',
    'packages/emulator/dist/requests/mixed_load.spec.js',
    'packages/emulator/dist/requests/returns.spec.js',
  ],
  concurrency: 1,
  timeout: '120s',
};
