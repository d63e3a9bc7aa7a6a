/** @fileoverview The page of log events for operators. */

import type {LogEvent} from './catalogue.js';

const HEAD = `# Log events

Written by \`npm run docs:logs\` from \`packages/core/src/logs/catalogue.ts\`.

The daemon writes one line of JSON for each event on its standard output, with
\`time\`, \`code\`, \`level\`, \`name\`, \`text\`, \`fields\` and, of its author,
\`workspace\`, \`host\` and \`member\`. \`tuning.logs.level\` of the settings is the
least level that is written. A number is never used for another event.

Of the flows \`request\` and \`failure\` a bounded number of lines a second is
written; event 516 counts what was left out, also when nobody reads the output.

Numbers: 1xx membership and leases, 2xx map and coordinator, 3xx routing, 4xx
execution and admission, 5xx process, links and platform, 6xx configuration and
operators.

| code | name | level | flow | meaning |
| --- | --- | --- | --- | --- |
`;

/**
 * Renders the catalogue as a page in Markdown.
 *
 * @param events - The catalogue.
 * @returns The page.
 */
export function renderLogPage(
  events: Readonly<Record<string, LogEvent>>,
): string {
  const rows = Object.entries(events)
    .sort(([, a], [, b]) => a.code - b.code)
    .map(
      ([name, {code, level, flow, text}]) =>
        `| ${code} | ${name} | ${level} | ${flow} | ${text} |\n`,
    );
  return HEAD + rows.join('');
}
