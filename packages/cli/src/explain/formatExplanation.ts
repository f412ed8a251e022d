import { describeCause } from './describeCause';
import type { Explanation } from './explainRequest';
import type { LogLine } from './logLine';

const HIDDEN_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'level',
  'message',
  'instance',
  'request',
]);

const CLOCK_START_INDEX = 11;
const CLOCK_END_INDEX = 23;

const formatLine = (line: LogLine): string => {
  const fields = Object.entries(line)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  const clock = line.time.slice(CLOCK_START_INDEX, CLOCK_END_INDEX);
  return [clock, line.instance, line.message, ...fields].join(' ');
};

/** Formats an explanation as lines of text. */
export const formatExplanation = ({ id, lines, beliefs, cause }: Explanation): string[] => [
  `What happened to ${id}:`,
  ...lines.flatMap((line) => {
    const reason = describeCause(line);
    return reason === undefined
      ? [`  ${formatLine(line)}`]
      : [`  ${formatLine(line)}`, `      ${reason}`];
  }),
  'State known to the instance at that time:',
  ...(beliefs.length === 0
    ? ['  nothing is logged']
    : beliefs.map((line) => `  ${formatLine(line)}`)),
  `Cause: ${cause ?? 'no log line states one'}`,
];
