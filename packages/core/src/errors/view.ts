/** @fileoverview Documentation page of the kinds of errors. */

import type {ErrorKindInfo} from './types.js';

const HEAD = `# Errors

Written by \`npm run docs:logs\` from \`packages/core/src/errors/logic.ts\`.

A caller whose request fails gets a status from this table and a JSON object
with \`kind\`, \`run\`, \`request\` (the request's id), \`text\` (the meaning below),
\`detail\` (for people) and \`retryable\`. The header \`x-run\` repeats \`run\`, and
\`x-request-id\` the request's id.

\`run\` is \`not-run\` or \`unknown\`. \`not-run\` means that the request truly did
not run: no byte of it was written to a backend server, or the backend server
refused it before running. It may be sent again. \`unknown\` means that it may
have run, or may be running still. A request that is not idempotent must then
not simply be sent again: look first whether it took effect, or send it with
the same \`Idempotency-Key\` if the first one carried that key.

"Again" says whether it makes sense to send the same request again at once; it
holds only with \`run\` equal to \`not-run\`, or for idempotent requests.

| kind | status | again | meaning |
| --- | --- | --- | --- |
`;

/**
 * Renders the table of error kinds as a page in Markdown.
 *
 * @param responses - The response for each kind of error.
 * @returns The page.
 */
export function renderErrorPage(
  responses: Readonly<Record<string, ErrorKindInfo>>,
): string {
  const rows = Object.entries(responses).map(
    ([kind, {status, text, retryable}]) =>
      `| ${kind} | ${status} | ${retryable ? 'yes' : 'no'} | ${text} |\n`,
  );
  return HEAD + rows.join('');
}
