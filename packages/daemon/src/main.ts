#!/usr/bin/env node
/** @fileoverview Command-line entry point of `jackdawfalld`. */

import {ProcessSignals} from './process/signals.js';

const signals = new ProcessSignals();
// Loaded later, since signals during loading must be handled as well.
const {runCommandLine} = await import('./command_line.js');
await runCommandLine(signals);
