/** @fileoverview Public items of the cli package. */

export {};
