/** @fileoverview Public items of the cli package. */

export type * from './output/types.js';
export {EXIT_CODES} from './output/logic.js';
export type {Output} from './program.js';
export {runProgram} from './program.js';
