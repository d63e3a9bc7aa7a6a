/** @fileoverview Public items of the emulator package. */

export {};
