// Writes the pages that are made from tables in the code.
import {writeFileSync} from 'node:fs';

import {
  ANSWERS,
  LOGS,
  renderErrorPage,
  renderLogPage,
} from '../packages/core/dist/index.js';

const write = (name, text) =>
  writeFileSync(new URL(`../docs/${name}`, import.meta.url), text);

write('LOGS.md', renderLogPage(LOGS));
write('ERRORS.md', renderErrorPage(ANSWERS));
