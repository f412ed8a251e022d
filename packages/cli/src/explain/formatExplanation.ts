import { causeOf } from './causeOf';
import type { Explanation } from './explainRequest';
import type { LogLine } from './logLine';

const HIDDEN: ReadonlySet<string> = new Set(['time', 'level', 'message', 'instance', 'request']);

const CLOCK_START = 11;
const CLOCK_END = 23;

const formatLine = (line: LogLine): string => {
  const fields = Object.entries(line)
    .filter(([name]) => !HIDDEN.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  const clock = line.time.slice(CLOCK_START, CLOCK_END);
  return [clock, line.instance, line.message, ...fields].join(' ');
};

/** Lines that tell an explanation to a person. */
export const formatExplanation = ({ id, lines, beliefs, cause }: Explanation): string[] => [
  `What happened to ${id}:`,
  ...lines.flatMap((line) => {
    const reason = causeOf(line);
    return reason === undefined
      ? [`  ${formatLine(line)}`]
      : [`  ${formatLine(line)}`, `      ${reason}`];
  }),
  'What the instance believed then:',
  ...(beliefs.length === 0
    ? ['  nothing is logged']
    : beliefs.map((line) => `  ${formatLine(line)}`)),
  `Cause: ${cause ?? 'no line says so'}`,
];
