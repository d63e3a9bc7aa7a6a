/** @fileoverview Public items of the wire package. */

export {};
