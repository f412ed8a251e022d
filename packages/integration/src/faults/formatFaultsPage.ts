import type { CellResult } from './cellResult';
import { CALL_KINDS } from './faultCell';
import { formatMarkdownTable } from './faultTable';

const HEADING = `# Fault matrix

Written by \`npm run faults\`. Three instances run as processes beside stand-ins of the store, two
engines and a tool. In each cell a call is brought to a step and held there, the fault strikes, the
call is let go, and its caller retries with the same idempotency key, at the next entry, until the
result is final.

Steps: \`arrival\`, before the call is sent; \`intent\`, while the store commits that it will run;
\`dispatch\`, when the target has received it and not yet begun; \`running\`, after the tool's effect
or some tokens; \`outcome\`, while the store commits its outcome; \`answered\`, after the whole answer,
when the caller asks again.

Checked in every cell: the answer is whole; a non-idempotent call ran at most once; a refusal that
says "not run" is true; the history is in order and holds each call once; the program can be ended
and its engine memory is freed; no target saw a caller's key; no assertion failed inside an instance.
A cell shows the final result, how often the tool ran, and the time from the fault to that result.
`;

const TITLES = {
  model: 'Streamed model call (idempotent)',
  charge: 'Tool call that may not be repeated',
} as const;

/** Returns the text of docs/FAULT-MATRIX.md. */
export const formatFaultsPage = (results: readonly CellResult[]): string => {
  const tables = CALL_KINDS.map(
    (kind) => `## ${TITLES[kind]}\n\n${formatMarkdownTable(results, kind)}\n`,
  );
  return [HEADING, ...tables].join('\n');
};
