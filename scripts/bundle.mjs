/**
 * @fileoverview Bundles the daemon and its adapters for the platform into one
 * file under target/, directly from the sources.
 */

import {fileURLToPath} from 'node:url';

import {build} from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));
const sourceIndex = name => `${root}packages/${name}/src/index.ts`;

await build({
  entryPoints: [`${root}platform/src/main.ts`],
  outfile: `${root}target/jackdawfalld.cjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
  alias: {
    '@jackdawfall/core': sourceIndex('core'),
    '@jackdawfall/wire': sourceIndex('wire'),
    '@jackdawfall/daemon/signals': `${root}packages/daemon/src/process/signals.ts`,
    '@jackdawfall/daemon': sourceIndex('daemon'),
  },
});
