/** @fileoverview The map bench: memory and time of the map at several sizes. */

import {printProgress} from '../progress.js';
import type {Bench, Measurements} from '../types.js';
import {startWorker} from '../workers.js';
import type {MapSize} from './types.js';

const WORKER = new URL('./worker.js', import.meta.url);
const SIZES: readonly MapSize[] = [
  {members: 725, slices: 16_384},
  {members: 1450, slices: 32_768},
  {members: 2900, slices: 65_536},
  {members: 5800, slices: 131_072},
];

/** Measures memory, filling, promotion of standbys, and rebalancing. */
export const mapBench: Bench = {
  name: 'map',
  text: 'the map of slices: memory, promotion, snapshot, decisions',
  run: async signal => {
    const sizes: Measurements[] = [];
    for (const size of SIZES) {
      printProgress(`  ${size.members} members, ${size.slices} slices`);
      const worker = startWorker(WORKER, signal);
      sizes.push(await worker.call<Measurements>('measure', size));
      await worker.stop();
    }
    return {sizes};
  },
};
