// Writes the pages that are made from tables in the code.
import {readFileSync, writeFileSync} from 'node:fs';

import {
  ERROR_RESPONSES,
  DEFAULT_TUNING,
  LOG_EVENTS,
  renderErrorPage,
  renderLogPage,
} from '../packages/core/dist/index.js';

const pageOf = name => new URL(`../docs/${name}`, import.meta.url);
const write = (name, text) => writeFileSync(pageOf(name), text);

// Rows of the tuning are written by hand, but for their defaults.
const TUNING_ROW = /^(\| `tuning\.(\w+)\.(\w+)` \|) \S+ \|/gm;
const withDefaults = page =>
  page.replace(TUNING_ROW, (row, head, section, key) => {
    const value = DEFAULT_TUNING[section]?.[key];
    return value === undefined ? row : `${head} ${value} |`;
  });

write('LOGS.md', renderLogPage(LOG_EVENTS));
write('ERRORS.md', renderErrorPage(ERROR_RESPONSES));
write(
  'CONFIGURATION.md',
  withDefaults(readFileSync(pageOf('CONFIGURATION.md'), 'utf8')),
);
