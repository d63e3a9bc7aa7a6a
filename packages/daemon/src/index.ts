/** @fileoverview Public items of the daemon package. */

export {};
