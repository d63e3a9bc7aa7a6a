/**
 * @fileoverview Bundles the daemon with the platform's edges into one file
 * under target/, straight from the sources.
 */

import {fileURLToPath} from 'node:url';

import {build} from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));
const source = name => `${root}packages/${name}/src/index.ts`;

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
    '@jackdawfall/core': source('core'),
    '@jackdawfall/wire': source('wire'),
    '@jackdawfall/daemon': source('daemon'),
  },
});
